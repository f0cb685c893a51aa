//! Names of a node's ports.

use derive_more::Display;

/// Port of a node. Displayed as its key in the settings.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PortName {
    /// Port for callers.
    #[display("callers")]
    Callers,
    /// Port for exchanges and heartbeats between nodes.
    #[display("peer")]
    Peer,
    /// Port for pulls of the configuration.
    #[display("control")]
    Control,
    /// Port for the platform's readiness checks.
    #[display("ready")]
    Ready,
    /// Operators' port.
    #[display("operators")]
    Operators,
    /// Port of the VM's target.
    #[display("target")]
    Target,
}
