//! Tests of membership and configuration, one module a feature.

mod budget;
mod convergence;
mod freeze;
mod learning;
mod monotonic_versions;
mod parts;
mod readers;
mod stale_source;
mod support;
mod suspicion;
mod zone_loss;
