//! Scenarios: scripted simulations of a fleet in virtual time.
//!
//! A scenario starts nodes that run the real kernel (`celeryshore_kernel`) in a
//! simulation of the platform, the targets, the network and the clocks. It injects
//! faults and checks expectations. The seed determines the whole run:
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
//! A line has one statement; `#` starts a comment. `at TIME` before a statement
//! advances the time to that point first. A scenario also fails if an invariant is
//! violated ([`Violation`]): a node goes back to an older version, a key of an
//! at-most-once kind runs twice, a caller gets two answers or the response of
//! another operation, a request runs although it was refused as "not run", a
//! request runs with an older configuration than it was routed with, or a target
//! in cold start gets more requests than it has slots.
//!
//! | statement | effect |
//! | --- | --- |
//! | `nodes N zones A B …` | starts `n1` to `nN`, each with a target, in the zones in turn |
//! | `publish`, `publish "LINE"`, `republish N` | publishes the rules with a new comment, with a new line, or the N-th text again |
//! | `take-out PLACE`, `bring-back PLACE` | publishes rules that take a place out of service, or back into it; a place is `zone A` or `nN` |
//! | `cut PLACE`, `cut-source PLACE`, `heal` | partitions a place from all other nodes and the platform, or from the platform only; `heal` ends all partitions |
//! | `lose SHARE`, `delay TIME` | sets the share of datagrams lost, and the minimum delay of messages |
//! | `kill PLACE`, `restart PLACE`, `freeze PLACE TIME`, `drain PLACE` | acts on the processes of a place, which may also be `everywhere` |
//! | `source up`, `down`, `stale`, `older`, `torn` or `flap` | sets how the platform answers reads |
//! | `target PLACE ok`, `warm`, `down`, `silent` or `broken` | sets how targets handle requests; a warm one has no cold start |
//! | `target PLACE limited N/s` or `leaving` | warm targets that state a rate limit, or that they leave, in each response |
//! | `send nN KIND [key=K] [attempt=N] [as NAME]` | sends a caller's request |
//! | `load KIND N/s for TIME [zone A]` | sends requests at a constant rate to random running nodes that do not drain |
//! | `wait TIME` | advances the time |
//! | `expect in-force PLACE [within TIME]` | the newest valid version is in effect |
//! | `expect version-of PLACE N` | the N-th published text is in effect |
//! | `expect answer NAME whole`, `not-run` or `unknown` `[within TIME]` | a request got this kind of answer; `whole` is a complete response |
//! | `expect runs K at-most N` or `exactly N` | how often the requests with a key ran |
//! | `expect whole at-least SHARE` | share of all requests that got complete responses |
//! | `expect no-new-work PLACE after TIME` | no run started there more than this time after the place was taken out or drained |
//! | `expect sent PLACE at-most N in TIME since TIME` | requests that the targets of a place got in any span of this length, from a time of the scenario on |
//! | `expect reads at-most N/s` | reads of the platform since the last statement with `at` or `wait` |
//!
//! [`Scenario`] parses its lines with `grammar` into the statements of `script`.
//! `runner` runs them one after the other and `expectation` checks those with
//! `expect`. They act on `simulation`, which takes events from `event_queue`,
//! passes them to the process of a `node` and executes the actions that it returns
//! (`execute`), over the simulated `network`, `platform` and `target`. `recorder`
//! keeps what happened and checks the invariants. `polling` is a simple
//! implementation of a node to compare the kernel with.

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
