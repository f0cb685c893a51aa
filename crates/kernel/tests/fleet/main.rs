//! Tests of membership and configuration of a simulated fleet, one module per
//! property.

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
