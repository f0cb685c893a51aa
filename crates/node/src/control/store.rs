//! Reads of the platform's store through an adapter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use celeryshore_kernel::Adapter;
use celeryshore_kernel::Changes;
use celeryshore_kernel::FetchFailure;
use celeryshore_kernel::ItemKey;
use celeryshore_kernel::Page;
use celeryshore_kernel::StoreRevision;
use celeryshore_kernel::StoreSection;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;

use super::platform;
use crate::net;

/// Alias for a `Result` of a read.
pub(crate) type Result<T> = std::result::Result<T, FetchFailure>;

/// Platform's store, with the adapter that encodes its requests.
pub(crate) struct Store {
    pub(crate) addr: SocketAddr,
    pub(crate) adapter: Arc<dyn Adapter>,
}

impl Store {
    /// Reads the page of a section after the key `after`, or its first page.
    pub(crate) async fn list(
        &self,
        section: StoreSection,
        after: Option<ItemKey>,
        deadline: Instant,
    ) -> Result<Page> {
        let response = self
            .get(self.adapter.list(section, after.as_ref()), deadline)
            .await?;
        Ok(self.adapter.read_page(&response)?)
    }

    /// Reads the changes of a section after a revision. The store may wait for a change
    /// for up to `wait`.
    pub(crate) async fn watch(
        &self,
        section: StoreSection,
        after: StoreRevision,
        wait: std::time::Duration,
        deadline: Instant,
    ) -> Result<Changes> {
        let response = self
            .get(self.adapter.watch(section, after, wait), deadline)
            .await?;
        Ok(self.adapter.read_changes(&response)?)
    }

    async fn get(&self, request: HttpRequest, deadline: Instant) -> Result<HttpResponse> {
        let response = net::timeout_at(deadline, platform::get(self.addr, request)).await;
        let response = response.ok_or(FetchFailure::Timeout)?;
        response.map_err(|_| FetchFailure::Unreachable)
    }
}
