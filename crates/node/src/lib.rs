//! The node process, which runs on each target VM.
//!
//! A node accepts requests from callers, forwards each one to the node on the VM of
//! an upstream, and admits requests to its local target. The state machines in
//! `celeryshore_kernel` make all decisions; this crate performs the I/O. [`Node`]
//! opens the ports named in [`Settings`] and starts the tasks that serve them.
//!
//! The module `driver` owns the kernel, passes events to it and executes the actions
//! that it returns. The events come from the other modules: `callers` serves callers,
//! `peers` exchanges requests and replies with other nodes, `target` runs requests at
//! the local target, and `control` distributes the configuration. `operators` shows
//! the state of the node.

mod callers;
mod clock;
mod control;
mod driver;
mod error;
mod http;
mod log;
mod memory;
mod net;
mod node;
mod operators;
mod options;
mod peers;
mod settings;
mod target;
mod timers;
mod uplink;

pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::log::LogGuard;
pub use crate::log::logger;
pub use crate::node::Addresses;
pub use crate::node::Node;
pub use crate::options::Command;
pub use crate::options::usage;
pub use crate::settings::LogLevel;
pub use crate::settings::PlatformSettings;
pub use crate::settings::PortName;
pub use crate::settings::Seed;
pub use crate::settings::Settings;
pub use crate::settings::SettingsLimits;
pub use crate::settings::SettingsTerms;
