//! A small language for scenarios in virtual time.
//!
//! A scenario starts some nodes of the real decisions (`celeryshore_kernel`),
//! with small fakes for the platform, the targets, the network and the clock,
//! causes faults, and says what must hold. It is deterministic by its seed:
//!
//! ```
//! use celeryshore_trials::scenario::Scenario;
//! use celeryshore_trials::scenario::System;
//!
//! let scenario: Scenario = "\
//! nodes 4 zones a b
//! expect in-force everywhere within 10s
//! at 12s publish
//! expect in-force everywhere within 5s
//! "
//! .parse()?;
//! let report = scenario.run(System::Kernel, 1)?;
//! assert_eq!(report.converged.len(), 2);
//! # Ok::<(), celeryshore_trials::scenario::Error>(())
//! ```
//!
//! One statement stands on a line; `#` starts a comment. `at TIME` before a
//! statement lets time pass until then. Whatever a scenario expects, it fails if
//! a node goes back to an older version, a key of an at-most-once kind runs
//! twice, a caller gets another's answer, a request that was refused as "not
//! run" ran, a request runs under an older configuration than it was routed
//! under, or a target in cold start is given more than it can bear.
//!
//! | statement | effect |
//! | --- | --- |
//! | `nodes N zones A B …` | starts `n1` to `nN`, each with a target, over the zones in turn |
//! | `publish`, `publish "LINE"`, `republish N` | changes the rules: a comment, a line, the N-th text again |
//! | `take-out PLACE`, `bring-back PLACE` | changes the rules; a place is `zone A` or `nN` |
//! | `cut PLACE`, `cut-source PLACE`, `heal` | cuts a place off from all others and the platform, or the platform only |
//! | `lose SHARE`, `delay TIME` | datagrams lost, and time on the way |
//! | `kill PLACE`, `restart PLACE`, `freeze PLACE TIME`, `drain PLACE` | processes; also `everywhere` |
//! | `source up`, `down`, `stale`, `older`, `torn` or `flap` | state of the platform |
//! | `target PLACE ok`, `warm`, `down`, `silent` or `broken` | state of targets; a warm one has no cold start |
//! | `send nN KIND [key=K] [attempt=N] [as NAME]` | a caller's request |
//! | `load KIND N/s for TIME [zone A]` | requests at a steady rate, to live nodes |
//! | `wait TIME` | lets time pass |
//! | `expect in-force PLACE [within TIME]` | the newest good version is in force |
//! | `expect version-of PLACE N` | the N-th published text is in force |
//! | `expect answer NAME whole`, `not-run` or `unknown` `[within TIME]` | an answer |
//! | `expect runs K at-most N` or `exactly N` | how often a key ran |
//! | `expect whole at-least SHARE` | share of all requests that got whole answers |
//! | `expect no-new-work PLACE after TIME` | no run began there so long after it was taken out, drained or cut |
//! | `expect reads at-most N/s` | calls on the platform since the last statement with `at` or `wait` |

mod caller;
mod connection;
mod deployment;
mod error;
mod event_queue;
mod execute;
mod expectation;
mod grammar;
mod network;
mod node;
mod platform;
mod polling;
mod recorder;
mod runner;
mod script;
mod simulation;
mod target;

pub use self::error::Category;
pub use self::error::Error;
pub use self::error::Result;
pub use self::node::System;
pub use self::recorder::Violation;
pub use self::runner::Report;
pub use self::script::Scenario;
