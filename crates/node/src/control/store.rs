//! Reads of a platform's store that is met through an adapter.

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

/// Result of a read.
pub(crate) type Result<T> = std::result::Result<T, FetchFailure>;

/// The platform's store.
pub(crate) struct Store {
    pub(crate) addr: SocketAddr,
    pub(crate) adapter: Arc<dyn Adapter>,
}

impl Store {
    /// Reads a page of a section.
    pub(crate) async fn list(
        &self,
        section: StoreSection,
        after: Option<ItemKey>,
        end: Instant,
    ) -> Result<Page> {
        let response = self
            .get(self.adapter.list(section, after.as_ref()), end)
            .await?;
        Ok(self.adapter.read_page(&response)?)
    }

    /// Reads the changes of a section; the store waits for one.
    pub(crate) async fn watch(
        &self,
        section: StoreSection,
        after: StoreRevision,
        wait: std::time::Duration,
        end: Instant,
    ) -> Result<Changes> {
        let response = self
            .get(self.adapter.watch(section, after, wait), end)
            .await?;
        Ok(self.adapter.read_changes(&response)?)
    }

    async fn get(&self, request: HttpRequest, end: Instant) -> Result<HttpResponse> {
        let response = net::timeout_at(end, platform::get(self.addr, request)).await;
        let response = response.ok_or(FetchFailure::Timeout)?;
        response.map_err(|_| FetchFailure::Unreachable)
    }
}
