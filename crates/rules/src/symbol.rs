//! Names and addresses that rules define and refer to.

use std::net::SocketAddr;

use celeryshore_model::KeyDigest;
use derive_more::Display;

/// Name or address that a rule defines or refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Symbol<'a> {
    Epoch,
    Zone(&'a str),
    Service(&'a str),
    Retry(&'a str),
    Kind {
        service: &'a str,
        kind: &'a str,
    },
    Upstream(&'a str),
    /// Existence of an upstream for the service of this name.
    UpstreamOf(&'a str),
    Vm(&'a str),
    Address(SocketAddr),
    Route(&'a str),
    Split(&'a str),
    ZoneOutage(&'a str),
    VmOutage(&'a str),
    Workspace(&'a str),
    Key(KeyDigest),
}

/// Kind of a symbol, as written in messages.
#[derive(Clone, Copy, Debug, Display)]
enum SymbolKind {
    #[display("epoch")]
    Epoch,
    #[display("zone")]
    Zone,
    #[display("service")]
    Service,
    #[display("retry rule")]
    Retry,
    #[display("kind")]
    Kind,
    #[display("upstream")]
    Upstream,
    #[display("VM")]
    Vm,
    #[display("address")]
    Address,
    #[display("route")]
    Route,
    #[display("split")]
    Split,
    #[display("outage")]
    Outage,
    #[display("workspace")]
    Workspace,
    #[display("key")]
    Key,
}

impl Symbol<'_> {
    /// Describes the definition that a reference to this symbol expects.
    pub(crate) fn expected_definition(&self) -> String {
        match self {
            Self::Kind { service, kind } => format!("service {service:?} with a kind {kind:?}"),
            Self::UpstreamOf(_) => "a service with an upstream".to_owned(),
            _ => format!("a defined {}", self.kind()),
        }
    }

    /// Describes that the symbol may be defined only once.
    pub(crate) fn expected_unique(&self) -> String {
        format!("a unique {}", self.kind())
    }

    fn kind(&self) -> SymbolKind {
        match self {
            Self::Epoch => SymbolKind::Epoch,
            Self::Zone(_) => SymbolKind::Zone,
            Self::Service(_) => SymbolKind::Service,
            Self::Retry(_) => SymbolKind::Retry,
            Self::Kind { .. } => SymbolKind::Kind,
            Self::Upstream(_) | Self::UpstreamOf(_) => SymbolKind::Upstream,
            Self::Vm(_) => SymbolKind::Vm,
            Self::Address(_) => SymbolKind::Address,
            Self::Route(_) => SymbolKind::Route,
            Self::Split(_) => SymbolKind::Split,
            Self::ZoneOutage(_) | Self::VmOutage(_) => SymbolKind::Outage,
            Self::Workspace(_) => SymbolKind::Workspace,
            Self::Key(_) => SymbolKind::Key,
        }
    }
}
