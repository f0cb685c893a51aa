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
    Backing(&'a str),
    Vm(&'a str),
    Address(SocketAddr),
    Route(&'a str),
    Split(&'a str),
    OutZone(&'a str),
    OutVm(&'a str),
}

/// What the symbol is, without its name.
#[derive(Clone, Copy, Debug, Display)]
enum Noun {
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
    pub(crate) fn required(&self) -> String {
        match self {
            Self::Kind { service, kind } => format!("service {service:?} with a kind {kind:?}"),
            Self::Backing(_) => "a service with an upstream".to_owned(),
            _ => format!("a {} that some line defines", self.noun()),
        }
    }

    /// Says that nothing of this name may be there yet.
    pub(crate) fn unused(&self) -> String {
        format!("no second {} of this name", self.noun())
    }

    fn noun(&self) -> Noun {
        match self {
            Self::Epoch => Noun::Epoch,
            Self::Zone(_) => Noun::Zone,
            Self::Service(_) => Noun::Service,
            Self::Retry(_) => Noun::Retry,
            Self::Kind { .. } => Noun::Kind,
            Self::Upstream(_) | Self::Backing(_) => Noun::Upstream,
            Self::Vm(_) => Noun::Vm,
            Self::Address(_) => Noun::Address,
            Self::Route(_) => Noun::Route,
            Self::Split(_) => Noun::Split,
            Self::OutZone(_) | Self::OutVm(_) => Noun::Outage,
        }
    }
}
