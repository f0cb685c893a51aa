//! Names of request kinds.

use std::cmp::Ordering;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::From;
use serde::Serialize;
use serde::Serializer;

use crate::Digest;
use crate::Error;
use crate::Result;
use crate::RouteName;

/// Digest of the host and the path of a route, which select it.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct RoutePlace(pub u64);

impl RoutePlace {
    /// Returns the place of the route with this host, in lower case, and path.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_model::RoutePlace;
    ///
    /// let orders = RoutePlace::of("orders.example", "/");
    /// assert_eq!(orders, RoutePlace::of("orders.example", "/"));
    /// assert_ne!(orders, RoutePlace::of("catalog.example", "/"));
    /// ```
    #[must_use]
    pub fn of(host: &str, path: &str) -> Self {
        let digest = Digest::of(format!("{host}\0{path}").as_bytes());
        let head = digest.as_bytes().first_chunk().copied();
        Self(u64::from_be_bytes(head.unwrap_or_default()))
    }
}

/// Name of a request kind, unique within its service.
///
/// It consists of a label, which follows the rules of the other names, and of a place if
/// the kind belongs to one route. Labels of routes need not be unique, so the place alone
/// identifies such a kind. Clones share one allocation.
#[derive(Clone)]
pub struct KindName(Arc<Parts>);

struct Parts {
    label: Box<str>,
    place: Option<RoutePlace>,
}

impl KindName {
    /// Returns the name of the kind of one route.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_model::KindName;
    /// use celeryshore_model::RouteName;
    /// use celeryshore_model::RoutePlace;
    ///
    /// let route: RouteName = "main".parse()?;
    /// let order = KindName::of_route(&route, RoutePlace::of("orders.example", "/"));
    /// let look = KindName::of_route(&route, RoutePlace::of("catalog.example", "/"));
    /// assert_eq!(order.label(), look.label());
    /// assert_ne!(order, look);
    /// # Ok::<(), celeryshore_model::Error>(())
    /// ```
    #[must_use]
    pub fn of_route(route: &RouteName, place: RoutePlace) -> Self {
        Self::new(route.as_str(), Some(place))
    }

    fn new(label: &str, place: Option<RoutePlace>) -> Self {
        Self(Arc::new(Parts {
            label: label.into(),
            place,
        }))
    }

    /// Returns the name with this label and another place.
    #[must_use]
    pub fn with_place(&self, place: Option<RoutePlace>) -> Self {
        Self::new(self.label(), place)
    }

    /// Returns the name without the place. Kinds of one service may share it.
    #[must_use]
    pub fn label(&self) -> &str {
        &self.0.label
    }

    /// Returns the place of the route that the kind belongs to, if it belongs to one.
    #[must_use]
    pub fn place(&self) -> Option<RoutePlace> {
        self.0.place
    }

    /// Returns the part that names are compared by.
    fn identity(&self) -> (Option<RoutePlace>, &str) {
        let label = self.place().map_or(self.label(), |_| "");
        (self.place(), label)
    }
}

impl FromStr for KindName {
    type Err = Error;

    /// Parses the name of a kind without a place.
    fn from_str(s: &str) -> Result<Self> {
        let name: RouteName = s.parse()?;
        Ok(Self::new(name.as_str(), None))
    }
}

impl PartialEq for KindName {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl Eq for KindName {}

impl PartialOrd for KindName {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for KindName {
    fn cmp(&self, other: &Self) -> Ordering {
        self.identity().cmp(&other.identity())
    }
}

impl Hash for KindName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.identity().hash(state);
    }
}

impl fmt::Display for KindName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place() {
            Some(place) => write!(f, "{}@{place}", self.label()),
            None => f.pad(self.label()),
        }
    }
}

impl fmt::Debug for KindName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl Serialize for KindName {
    fn serialize<S: Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}
