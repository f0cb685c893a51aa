//! Names of a node's ports.

use derive_more::Display;

/// A port of a node, by its key in the settings.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PortName {
    /// Callers' port.
    #[display("callers")]
    Callers,
    /// Peers' port.
    #[display("peer")]
    Peer,
    /// Port of the configuration.
    #[display("control")]
    Control,
    /// Port at which the platform asks whether the node is ready.
    #[display("ready")]
    Ready,
    /// Operators' port.
    #[display("operators")]
    Operators,
    /// Port of the VM's target.
    #[display("target")]
    Target,
}
