//! Faults that come while a fleet serves.

use std::time::Duration;

use anyhow::Result;
use async_io::Timer;
use celeryshore_trials::fleet::Changes;
use celeryshore_trials::fleet::Fleet;
use celeryshore_trials::fleet::Port;
use celeryshore_trials::process::Signal;
use derive_more::Display;
use derive_more::FromStr;

const BEFORE: Duration = Duration::from_secs(3);
const OUT: Duration = Duration::from_secs(5);
const FREEZE: Duration = Duration::from_secs(4);
const DRAIN_TIME: Duration = Duration::from_secs(10);
const LOST: &str = "1h";
const THIRD: usize = 3;

/// A fault, or none.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Scenario {
    /// Half of what the targets bear.
    Steady,
    /// Twice what the targets bear.
    Overload,
    /// A zone is taken out and brought back.
    ZoneOut,
    /// A zone's nodes and targets die without warning.
    ZoneLost,
    /// A third of the nodes is killed and started again.
    Killed,
    /// Every node is stopped and started, one after the other.
    Rolling,
    /// Connections to targets go silent, and a node freezes.
    Silent,
    /// A request crashes each target that runs it.
    Poison,
    /// All targets fall back into cold start without warning.
    Cold,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 9] = [
        Self::Steady,
        Self::Overload,
        Self::ZoneOut,
        Self::ZoneLost,
        Self::Killed,
        Self::Rolling,
        Self::Silent,
        Self::Poison,
        Self::Cold,
    ];

    /// Returns the load as a percentage of what the targets bear.
    pub const fn load_percent(self) -> u32 {
        match self {
            Self::Overload => 200,
            Self::Cold => 25,
            _ => 50,
        }
    }

    /// Causes the fault in a fleet under load.
    pub async fn cause(self, fleet: &mut Fleet) -> Result<()> {
        Timer::after(BEFORE).await;
        match self {
            Self::Steady | Self::Overload | Self::Poison => Ok(()),
            Self::ZoneOut => zone_out(fleet).await,
            Self::ZoneLost => zone_lost(fleet).await,
            Self::Killed => killed(fleet).await,
            Self::Rolling => rolling(fleet).await,
            Self::Silent => silent(fleet).await,
            Self::Cold => set_targets(fleet, "cold=1").await,
        }
    }
}

async fn zone_out(fleet: &mut Fleet) -> Result<()> {
    let zone = fleet.deployment.zones[0].to_owned();
    let out = Changes {
        zones_out: vec![zone],
        ..Changes::default()
    };
    fleet.publish(out).await?;
    Timer::after(OUT).await;
    fleet.publish(Changes::default()).await?;
    Ok(())
}

async fn zone_lost(fleet: &mut Fleet) -> Result<()> {
    for vm in in_zone(fleet, fleet.deployment.zones[0]) {
        fleet.kill_node(vm);
        let target = fleet.vms[vm].address(Port::Target);
        set_targets(fleet, &format!("addr={target}&down={LOST}")).await?;
    }
    Ok(())
}

async fn killed(fleet: &mut Fleet) -> Result<()> {
    for vm in (0..fleet.vms.len()).step_by(THIRD) {
        fleet.kill_node(vm);
    }
    for vm in (0..fleet.vms.len()).step_by(THIRD) {
        fleet.start_node(vm)?;
    }
    fleet.ready(DRAIN_TIME).await?;
    Ok(())
}

async fn rolling(fleet: &mut Fleet) -> Result<()> {
    for vm in 0..fleet.vms.len() {
        let Some(mut node) = fleet.take_node(vm) else {
            continue;
        };
        node.signal(Signal::Terminate)?;
        node.ended(DRAIN_TIME).await?;
        fleet.start_node(vm)?;
        fleet.ready(DRAIN_TIME).await?;
    }
    Ok(())
}

async fn silent(fleet: &mut Fleet) -> Result<()> {
    set_targets(fleet, "silence=1").await?;
    let Some(node) = &fleet.nodes[0] else {
        return Ok(());
    };
    node.signal(Signal::Stop)?;
    Timer::after(FREEZE).await;
    node.signal(Signal::Continue)?;
    Ok(())
}

fn in_zone(fleet: &Fleet, zone: &str) -> Vec<usize> {
    let vms = fleet.vms.iter().enumerate();
    vms.filter(|(_, vm)| vm.zone == zone)
        .map(|(i, _)| i)
        .collect()
}

async fn set_targets(fleet: &Fleet, query: &str) -> Result<()> {
    let mut control = fleet.control(Port::TargetControl);
    control.post(&format!("/set?{query}")).await?;
    Ok(())
}
