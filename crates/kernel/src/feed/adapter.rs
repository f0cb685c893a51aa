//! What a platform brings: its names, its messages and its entries.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshore_model::Dialect;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::ServiceName;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;
use celeryshore_model::UpstreamName;
use celeryshore_model::UpstreamState;
use celeryshore_model::ZoneName;
use derive_more::Display;
use derive_more::Error;

use super::Changes;
use super::Item;
use super::ItemKey;
use super::Page;
use super::Revision;
use super::Section;

/// Result of reading what a platform sent.
pub type Result<T> = std::result::Result<T, AdapterError>;

/// Why a platform's answer or item cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AdapterError {
    /// The store answered with another status than success.
    #[display("status {status}")]
    Status {
        /// The status.
        #[error(not(source))]
        status: u16,
    },
    /// The changes that were asked for are no longer in the store's history.
    #[display("history is gone")]
    HistoryGone,
    /// The value is not what its key promises.
    #[display("{field}: {problem}")]
    Malformed {
        /// Field that is wrong, in the platform's spelling.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// Translates between a platform's wire format and the product's types.
///
/// An adapter does no input or output and holds no state: it writes requests to
/// the platform's store, reads the answers, and names the header fields that
/// callers and targets use there.
pub trait Adapter: Debug + Send + Sync {
    /// Returns the header fields of callers and targets.
    fn dialect(&self) -> Dialect;

    /// Returns the path at which the platform asks a node whether it is ready.
    fn ready_path(&self) -> &'static str;

    /// Writes the request for a page of a section, after a key.
    fn list(&self, section: Section, after: Option<&ItemKey>) -> HttpRequest;

    /// Writes the request for the changes of a section after a revision.
    fn watch(&self, section: Section, after: Revision, wait: Duration) -> HttpRequest;

    /// Reads a page.
    ///
    /// # Errors
    ///
    /// Fails if the answer is no page.
    fn read_page(&self, res: &HttpResponse) -> Result<Page>;

    /// Reads changes.
    ///
    /// # Errors
    ///
    /// Fails if the answer holds no changes, or if the history is gone.
    fn read_changes(&self, res: &HttpResponse) -> Result<Changes>;

    /// Reads the value of an item.
    ///
    /// # Errors
    ///
    /// Fails if the value is not what its key promises.
    fn decode(&self, item: &Item) -> Result<Record>;
}

/// Meaning of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A configuration without upstreams; they are published on their own.
    Configuration(Arc<Snapshot>),
    /// An availability zone that operators have taken out of service.
    ZoneOut(ZoneName),
    /// What a target says of itself.
    Upstream(UpstreamRecord),
    /// Something that this product makes no use of.
    Other,
}

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Its name.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone that it lies in.
    pub zone: ZoneName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests that it runs at one time.
    pub slots: Slots,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Its life.
    pub life: Incarnation,
    /// How much longer it is in cold start.
    pub cold_for: Duration,
}

/// An adapter that is linked into this process. Each one registers itself.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Name by which settings choose it.
    pub name: &'static str,
    /// Makes the adapter.
    pub open: fn() -> Arc<dyn Adapter>,
}

inventory::collect!(Platform);

/// Finds the adapter of a platform by its name.
#[must_use]
pub fn platform(name: &str) -> Option<Arc<dyn Adapter>> {
    let found = inventory::iter::<Platform>
        .into_iter()
        .find(|p| p.name == name);
    found.map(|p| (p.open)())
}
