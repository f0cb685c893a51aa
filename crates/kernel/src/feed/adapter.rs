//! Interface between the feed and a platform's wire format.

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
use derive_more::From;
use derive_more::FromStr;

use super::Changes;
use super::Item;
use super::ItemKey;
use super::Page;
use super::Revision;
use super::Section;

/// Result of decoding data from a platform.
pub type Result<T> = std::result::Result<T, AdapterError>;

/// Reason why a response or an item of a platform cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AdapterError {
    /// The store responded with an HTTP status other than success.
    #[display("status {status}")]
    Status {
        /// HTTP status code of the response.
        #[error(not(source))]
        status: u16,
    },
    /// The requested changes are no longer in the store's history.
    #[display("history is gone")]
    HistoryGone,
    /// The value does not have the format that its key requires.
    #[display("{field}: {problem}")]
    Malformed {
        /// Name of the invalid field, as the platform spells it.
        field: String,
        /// What is wrong with the field.
        problem: String,
    },
}

/// Translates between a platform's wire format and the types of celeryshore.
///
/// An adapter performs no I/O and holds no state. It encodes requests to the
/// platform's store, decodes the responses, and names the header fields that
/// callers and targets of the platform use.
pub trait Adapter: Debug + Send + Sync {
    /// Returns the names of the header fields that callers and targets use.
    fn dialect(&self) -> Dialect;

    /// Returns the path of the platform's readiness check of a node.
    fn ready_path(&self) -> &'static str;

    /// Encodes the request for a page of a section.
    ///
    /// The page starts after the key `after`, or at the first key if it is absent.
    fn list(&self, section: Section, after: Option<&ItemKey>) -> HttpRequest;

    /// Encodes the request for the changes of a section after a revision.
    ///
    /// The store may hold the request for up to `wait` until there is a change.
    fn watch(&self, section: Section, after: Revision, wait: Duration) -> HttpRequest;

    /// Decodes a page.
    ///
    /// # Errors
    ///
    /// Fails if the response is not a valid page.
    fn read_page(&self, res: &HttpResponse) -> Result<Page>;

    /// Decodes the response to a [`watch`](Self::watch) request.
    ///
    /// # Errors
    ///
    /// Fails if the response is not a valid list of changes, or if the store no
    /// longer has the requested history.
    fn read_changes(&self, res: &HttpResponse) -> Result<Changes>;

    /// Removes secrets from the value of an item before a node keeps it, passes it on or
    /// decodes it. Items come from the store, or from a node that has not removed them.
    fn redact(&self, item: Item) -> Item {
        item
    }

    /// Decodes the value of an item.
    ///
    /// # Errors
    ///
    /// Fails if the value does not have the format that its key requires.
    fn decode(&self, item: &Item) -> Result<Record>;
}

/// Decoded value of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A configuration without upstreams, which are published as separate items.
    Configuration(Arc<Snapshot>),
    /// An availability zone that operators have taken out of service.
    ZoneOutage(ZoneName),
    /// Registration of a target.
    Upstream(UpstreamRecord),
    /// An item that celeryshore does not use.
    Other,
}

/// Registration of a target in the store, written by the target itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Address on which the target accepts requests.
    pub addr: SocketAddr,
    /// Number of requests that the target runs concurrently.
    pub slots: Slots,
    /// Whether the target accepts new requests.
    pub state: UpstreamState,
    /// Incarnation of the target; a later start under the same name has another.
    pub incarnation: Incarnation,
    /// Number of the heartbeat with which the target wrote the registration.
    pub heartbeat: Heartbeat,
    /// Remaining time in cold start; zero if the target is warm.
    pub cold_remaining: Duration,
}

/// Number of a target's heartbeat; it increases within an incarnation.
#[derive(
    Clone, Copy, Debug, Default, Display, From, FromStr, PartialEq, Eq, Hash, PartialOrd, Ord,
)]
pub struct Heartbeat(pub u64);

/// Adapter that is linked into this process.
///
/// Adapters register themselves with [`inventory::submit!`].
#[derive(Clone, Copy, Debug)]
pub struct AdapterPlugin {
    /// Name that selects the adapter in the settings.
    pub name: &'static str,
    /// Creates the adapter.
    pub create: fn() -> Arc<dyn Adapter>,
}

inventory::collect!(AdapterPlugin);

/// Creates the adapter registered under `name`, or returns `None` if there is none.
#[must_use]
pub fn find_adapter(name: &str) -> Option<Arc<dyn Adapter>> {
    let found = inventory::iter::<AdapterPlugin>
        .into_iter()
        .find(|p| p.name == name);
    found.map(|p| (p.create)())
}
