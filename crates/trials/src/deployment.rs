//! Shapes of the users' deployments.

use std::time::Duration;

use http_types::Method;

/// A request kind of a service.
#[derive(Clone, Copy, Debug)]
pub struct KindShape {
    /// Name of the kind.
    pub name: &'static str,
    /// Service that runs it.
    pub service: &'static str,
    /// Path of its requests.
    pub path: &'static str,
    /// Method of its requests.
    pub method: Method,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it crashes each target that runs it.
    pub crashes: bool,
}

/// A service and its upstreams.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: &'static str,
    /// Number of its upstreams.
    pub upstreams: u16,
    /// Its request kinds.
    pub kinds: &'static [KindShape],
}

/// A deployment: availability zones, services and what their targets bear.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Region of its availability zones.
    pub region: &'static str,
    /// Its availability zones.
    pub zones: &'static [&'static str],
    /// Requests that a target runs at one time.
    pub slots: u16,
    /// Connections that a target accepts.
    pub connections: u16,
    /// Its services.
    pub services: &'static [ServiceShape],
}

/// Deadline of every request kind.
pub const DEADLINE: Duration = Duration::from_secs(2);

const fn lookup(service: &'static str, name: &'static str, path: &'static str) -> KindShape {
    KindShape {
        name,
        service,
        path,
        method: Method::Get,
        idempotent: true,
        crashes: false,
    }
}

const fn order(service: &'static str, name: &'static str, path: &'static str) -> KindShape {
    KindShape {
        name,
        service,
        path,
        method: Method::Post,
        idempotent: false,
        crashes: false,
    }
}

/// The Association Cylinder Ordering Mesh.
pub const ASSOCIATION: Deployment = Deployment {
    name: "association",
    region: "scotland",
    zones: &["aberdeen", "edinburgh", "glasgow", "inverness"],
    slots: 6,
    connections: 110,
    services: &[
        ServiceShape {
            name: "ordering",
            upstreams: 6,
            kinds: &[
                lookup("ordering", "check-stock", "/stock"),
                lookup("ordering", "delivery-slots", "/delivery-slots"),
                order("ordering", "place-order", "/orders"),
            ],
        },
        ServiceShape {
            name: "collections-and-returns",
            upstreams: 4,
            kinds: &[
                order("collections-and-returns", "book-collection", "/collections"),
                order("collections-and-returns", "raise-return", "/returns"),
            ],
        },
    ],
};

/// The Hronec Dossier Services Mesh Annex.
pub const HRONEC: Deployment = Deployment {
    name: "hronec",
    region: "western-slovakia",
    zones: &["bratislava", "nitra", "trnava"],
    slots: 12,
    connections: 130,
    services: &[
        ServiceShape {
            name: "dossier",
            upstreams: 9,
            kinds: &[
                lookup("dossier", "ingredient-profile", "/ingredients"),
                order("dossier", "sign-off", "/sign-offs"),
                order("dossier", "toxicology-review", "/toxicology-reviews"),
            ],
        },
        ServiceShape {
            name: "submission",
            upstreams: 3,
            kinds: &[order("submission", "notification", "/notifications")],
        },
    ],
};

impl Deployment {
    /// Returns all request kinds.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_trials::deployment::HRONEC;
    ///
    /// assert_eq!(HRONEC.kinds().count(), 4);
    /// ```
    pub fn kinds(&self) -> impl Iterator<Item = KindShape> {
        self.services.iter().flat_map(|s| s.kinds.iter().copied())
    }

    /// Returns the request slots of all targets.
    #[must_use]
    pub fn slots(&self) -> u32 {
        u32::from(self.upstreams()) * u32::from(self.slots)
    }

    /// Returns the number of upstreams of all services.
    #[must_use]
    pub fn upstreams(&self) -> u16 {
        self.services.iter().map(|s| s.upstreams).sum()
    }
}
