//! One node's decisions, joined.

use crate::Fleet;
use crate::Requests;

/// Decisions of one node: fleet and requests.
#[derive(Debug)]
pub struct Kernel {
    /// Membership and configuration.
    pub fleet: Fleet,
    /// Requests.
    pub requests: Requests,
}
