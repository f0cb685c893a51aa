//! Services, request kinds and limits of the users' deployments.

use std::time::Duration;

use http_types::Method;

/// Request kind of a service.
#[derive(Clone, Copy, Debug)]
pub struct KindSpec {
    /// Name of the kind.
    pub name: &'static str,
    /// Service that runs its requests.
    pub service: &'static str,
    /// Path of its requests.
    pub path: &'static str,
    /// Method of its requests.
    pub method: Method,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether a request crashes each target that runs it.
    pub crashes: bool,
}

/// Service with its number of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: &'static str,
    /// Number of its upstreams.
    pub upstreams: u16,
    /// Its request kinds.
    pub kinds: &'static [KindSpec],
}

/// Deployment: availability zones, services and the limits of their targets.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Region of its availability zones.
    pub region: &'static str,
    /// Its availability zones.
    pub zones: &'static [&'static str],
    /// Concurrent requests of one warm target.
    pub slots: u16,
    /// Maximum number of open connections of one target.
    pub connections: u16,
    /// Its services.
    pub services: &'static [ServiceSpec],
}

/// Deadline of every request kind.
pub const DEADLINE: Duration = Duration::from_secs(2);

const fn read_kind(service: &'static str, name: &'static str, path: &'static str) -> KindSpec {
    KindSpec {
        name,
        service,
        path,
        method: Method::Get,
        idempotent: true,
        crashes: false,
    }
}

const fn write_kind(service: &'static str, name: &'static str, path: &'static str) -> KindSpec {
    KindSpec {
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
        ServiceSpec {
            name: "ordering",
            upstreams: 6,
            kinds: &[
                read_kind("ordering", "check-stock", "/stock"),
                read_kind("ordering", "delivery-slots", "/delivery-slots"),
                write_kind("ordering", "place-order", "/orders"),
            ],
        },
        ServiceSpec {
            name: "collections-and-returns",
            upstreams: 4,
            kinds: &[
                write_kind("collections-and-returns", "book-collection", "/collections"),
                write_kind("collections-and-returns", "raise-return", "/returns"),
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
        ServiceSpec {
            name: "dossier",
            upstreams: 9,
            kinds: &[
                read_kind("dossier", "ingredient-profile", "/ingredients"),
                write_kind("dossier", "sign-off", "/sign-offs"),
                write_kind("dossier", "toxicology-review", "/toxicology-reviews"),
            ],
        },
        ServiceSpec {
            name: "submission",
            upstreams: 3,
            kinds: &[write_kind("submission", "notification", "/notifications")],
        },
    ],
};

impl Deployment {
    /// Returns the request kinds of all services.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_trials::deployment::HRONEC;
    ///
    /// assert_eq!(HRONEC.kinds().count(), 4);
    /// ```
    pub fn kinds(&self) -> impl Iterator<Item = KindSpec> {
        self.services.iter().flat_map(|s| s.kinds.iter().copied())
    }

    /// Returns the number of concurrent requests of all warm targets together.
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
