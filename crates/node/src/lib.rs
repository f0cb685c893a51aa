//! The process that runs on each target VM.
//!
//! A node takes requests from callers, hands each one to the node on its
//! upstream's VM, and admits work to its own target. All decisions are made by
//! `celeryshore_kernel`; this package does the input and output around it:
//! [`Node`] opens the ports that [`Settings`] name and drives the decisions.

mod callers;
mod clock;
mod control;
mod driver;
mod error;
mod http;
mod log;
mod net;
mod node;
mod operators;
mod options;
mod peers;
mod settings;
mod target;
mod timers;

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
