//! Decisions about membership and configuration.

use derive_more::Display;
use serde::Serialize;

/// State of a member of the fleet, as this node sees it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers heartbeats, or nothing speaks against it.
    #[default]
    #[display("alive")]
    Alive,
    /// It missed heartbeats and may refute.
    #[display("suspect")]
    Suspect,
    /// It did not refute in time.
    #[display("dead")]
    Dead,
    /// It says, or the platform's list says, that it is leaving.
    #[display("leaving")]
    Leaving,
}

/// Decides about membership and configuration.
#[derive(Debug, Default)]
pub struct Fleet {}
