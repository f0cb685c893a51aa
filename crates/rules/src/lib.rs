//! Parser and tools for the rules file of celeryshore.
//!
//! Operators write one rule per line, each with a comment that names who
//! requested it. [`from_str`] and [`from_slice`] parse the text into a
//! [`Snapshot`], or return an [`Error`] that lists every [`Problem`]; a text is
//! never accepted in part:
//!
//! ```
//! use celeryshore_model::Index;
//!
//! let text = "\
//! epoch 1  # operations
//! zone glasgow region=scotland  # operations
//! service ordering slots=6 connections=110  # A. Baird
//! ";
//! let snapshot = celeryshore_rules::from_str(text, Index(7))?;
//! assert_eq!(snapshot.services.len(), 1);
//! # Ok::<(), celeryshore_rules::Error>(())
//! ```
//!
//! Validation depends only on the content of the text, so all nodes accept or
//! refuse the same text.
//!
//! `line` splits a line into words. Each keyword has a module (`epoch`, `kind`,
//! `outage`, `retry`, `route`, `service`, `split`, `upstream`, `workspace`,
//! `zone`) that registers a [`RuleKind`] and converts the words with the types of `value`.
//! `builder` collects the results and checks that every `symbol` is defined
//! once and every reference resolves.
//!
//! [`Router`] finds the route of a request; [`explain`](fn@explain),
//! [`diff`](fn@diff) and [`warnings`] serve the operators' command. Between
//! nodes, a text is sent compressed ([`pack`](fn@pack)) or as a [`Delta`]. At the
//! platform, a large text is stored in parts listed by a [`Manifest`].
//!
//! [`Snapshot`]: celeryshore_model::Snapshot

mod builder;
mod canonical;
mod delta;
mod diff;
mod epoch;
mod error;
mod explain;
mod kind;
mod line;
mod manifest;
mod outage;
mod pack;
mod parse;
mod patience;
mod problem;
mod retry;
mod route;
mod router;
mod rule;
mod service;
mod split;
mod symbol;
mod upstream;
mod value;
mod warning;
mod workspace;
mod zone;

pub use crate::delta::Delta;
pub use crate::delta::MAX_DELTA_BYTES;
pub use crate::diff::Change;
pub use crate::diff::Diff;
pub use crate::diff::diff;
pub use crate::error::Category;
pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::explain::Candidate;
pub use crate::explain::Choice;
pub use crate::explain::Explanation;
pub use crate::explain::Mismatch;
pub use crate::explain::SkippedRoute;
pub use crate::explain::explain;
pub use crate::manifest::MAX_PART_BYTES;
pub use crate::manifest::MAX_TEXT_BYTES;
pub use crate::manifest::Manifest;
pub use crate::manifest::Part;
pub use crate::manifest::SplitText;
pub use crate::manifest::split;
pub use crate::pack::pack;
pub use crate::pack::unpack;
pub use crate::parse::from_slice;
pub use crate::parse::from_str;
pub use crate::problem::Location;
pub use crate::problem::Problem;
pub use crate::router::Router;
pub use crate::rule::RuleKind;
pub use crate::rule::rule_kinds;
pub use crate::warning::Warning;
pub use crate::warning::warnings;
