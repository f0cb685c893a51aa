//! Simulated fleet in virtual time: the real state machines with a fake network
//! and a fake platform.

mod fake_net;
mod fake_source;
mod node;
mod polling;
mod rules;
mod simulation;
mod watch;

pub use self::fake_net::FakeNet;
pub use self::fake_source::FakeSource;
pub use self::node::Node;
pub use self::polling::PollingFleet;
pub use self::rules::FleetRules;
pub use self::simulation::Simulation;
