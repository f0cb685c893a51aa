//! Names and addresses that lines define and refer to.

use std::net::SocketAddr;

use derive_more::Display;

/// Something that a line defines, or that a line refers to.
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
    /// At least one upstream of a service.
    UpstreamOf(&'a str),
    Vm(&'a str),
    Address(SocketAddr),
    Route(&'a str),
    Split(&'a str),
    ZoneOutage(&'a str),
    VmOutage(&'a str),
}

/// What the symbol is, without its name.
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
}

impl Symbol<'_> {
    /// Says what has to be there for a reference to hold.
    pub(crate) fn expected_definition(&self) -> String {
        match self {
            Self::Kind { service, kind } => format!("service {service:?} with a kind {kind:?}"),
            Self::UpstreamOf(_) => "a service with an upstream".to_owned(),
            _ => format!("a {} that some line defines", self.kind()),
        }
    }

    /// Says that nothing of this name may be there yet.
    pub(crate) fn expected_unique(&self) -> String {
        format!("no second {} of this name", self.kind())
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
        }
    }
}
