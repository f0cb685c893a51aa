//! A fleet in virtual time: real decisions, small fakes for network and platform.

mod fake_net;
mod fake_source;
mod naive;
mod node;
mod rules;
mod watch;
mod world;

pub use self::fake_net::FakeNet;
pub use self::fake_source::FakeSource;
pub use self::naive::NaiveFleet;
pub use self::node::Node;
pub use self::rules::RulesText;
pub use self::world::World;
