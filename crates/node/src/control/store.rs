//! Reads of the platform's store through an adapter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
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

/// Longest time without any bytes of a response that has begun.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a response that has begun.
const MAX_TRANSFER: Duration = Duration::from_secs(5);

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
        wait: Duration,
        deadline: Instant,
    ) -> Result<Changes> {
        let response = self
            .get(self.adapter.watch(section, after, wait), deadline)
            .await?;
        Ok(self.adapter.read_changes(&response)?)
    }

    /// Sends a request and reads the response, which has to begin before the deadline.
    ///
    /// Load pattern: a whole fleet starts and reads a large configuration. The store's
    /// link, or that of a small VM, takes seconds for it. A read that is given up halfway
    /// would begin anew and make the others slower.
    async fn get(&self, request: HttpRequest, deadline: Instant) -> Result<HttpResponse> {
        let begun = async {
            let mut conn = platform::send(self.addr, request).await?;
            conn.wait_for_message().await?;
            crate::Result::Ok(conn)
        };
        let conn = net::timeout_at(deadline, begun).await;
        let conn = conn.ok_or(FetchFailure::Timeout)?;
        let conn = conn.map_err(|_| FetchFailure::Unreachable)?;
        let mut conn = conn.with_progress_timeout(PROGRESS_TIMEOUT);
        let response = net::timeout(MAX_TRANSFER, platform::read(&mut conn)).await;
        let response = response.ok_or(FetchFailure::Timeout)?;
        response.map_err(|_| FetchFailure::Unreachable)
    }
}
