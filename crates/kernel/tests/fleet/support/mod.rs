//! A fleet in virtual time: real decisions, small fakes for network and platform.

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
pub use self::polling::NaiveFleet;
pub use self::rules::RulesText;
pub use self::simulation::World;
