//! Tests of the node process, one file a feature.

mod bad_input;
mod control;
mod drain;
mod hand_over;
mod ports;
mod published;
mod settings;
mod support;
