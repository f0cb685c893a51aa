//! Faults that are injected into a fleet under load.

use std::time::Duration;

use anyhow::Result;
use async_io::Timer;
use celeryshore_trials::fleet::Changes;
use celeryshore_trials::fleet::Fleet;
use celeryshore_trials::fleet::Port;
use celeryshore_trials::process::Signal;
use derive_more::Display;
use derive_more::FromStr;

const FAULT_DELAY: Duration = Duration::from_secs(3);
const OUT_OF_SERVICE_TIME: Duration = Duration::from_secs(5);
const FREEZE_TIME: Duration = Duration::from_secs(4);
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
const TARGET_DOWN_TIME: &str = "1h";
const KILL_STRIDE: usize = 3;

/// Load level and fault of a measurement.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Scenario {
    /// Half of the targets' capacity, without a fault.
    Steady,
    /// Twice the targets' capacity, without a fault.
    Overload,
    /// A zone is taken out of service and put back.
    ZoneOut,
    /// A zone's nodes are killed and its targets go down.
    ZoneLost,
    /// A third of the nodes are killed and restarted.
    Killed,
    /// All nodes are drained and restarted, one after the other.
    Rolling,
    /// The open connections to targets stall, and a node is suspended.
    Silent,
    /// A request crashes each target that runs it.
    Poison,
    /// All targets start cold again without warning.
    Cold,
}

impl Scenario {
    /// All scenarios, in the order in which they run.
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

    /// Returns the load as a percentage of the targets' capacity.
    pub const fn load_percent(self) -> u32 {
        match self {
            Self::Overload => 200,
            Self::Cold => 25,
            _ => 50,
        }
    }

    /// Injects the fault into a fleet under load.
    pub async fn inject(self, fleet: &mut Fleet) -> Result<()> {
        Timer::after(FAULT_DELAY).await;
        match self {
            Self::Steady | Self::Overload | Self::Poison => Ok(()),
            Self::ZoneOut => take_zone_out(fleet).await,
            Self::ZoneLost => kill_zone(fleet).await,
            Self::Killed => restart_third(fleet).await,
            Self::Rolling => restart_all(fleet).await,
            Self::Silent => stall_targets_and_node(fleet).await,
            Self::Cold => set_targets(fleet, "cold=1").await,
        }
    }
}

async fn take_zone_out(fleet: &mut Fleet) -> Result<()> {
    let zone = fleet.deployment.zones[0].to_owned();
    let out = Changes {
        zones_out: vec![zone],
        ..Changes::default()
    };
    fleet.publish(out).await?;
    Timer::after(OUT_OF_SERVICE_TIME).await;
    fleet.publish(Changes::default()).await?;
    Ok(())
}

async fn kill_zone(fleet: &mut Fleet) -> Result<()> {
    for vm in vms_in_zone(fleet, fleet.deployment.zones[0]) {
        fleet.kill_node(vm);
        let target = fleet.vms[vm].address(Port::Target);
        set_targets(fleet, &format!("addr={target}&down={TARGET_DOWN_TIME}")).await?;
    }
    Ok(())
}

async fn restart_third(fleet: &mut Fleet) -> Result<()> {
    for vm in (0..fleet.vms.len()).step_by(KILL_STRIDE) {
        fleet.kill_node(vm);
    }
    for vm in (0..fleet.vms.len()).step_by(KILL_STRIDE) {
        fleet.start_node(vm)?;
    }
    fleet.wait_ready(DRAIN_TIMEOUT).await?;
    Ok(())
}

async fn restart_all(fleet: &mut Fleet) -> Result<()> {
    for vm in 0..fleet.vms.len() {
        let Some(mut node) = fleet.take_node(vm) else {
            continue;
        };
        node.signal(Signal::Terminate)?;
        node.wait_exit(DRAIN_TIMEOUT).await?;
        fleet.start_node(vm)?;
        fleet.wait_ready(DRAIN_TIMEOUT).await?;
    }
    Ok(())
}

async fn stall_targets_and_node(fleet: &mut Fleet) -> Result<()> {
    set_targets(fleet, "silence=1").await?;
    let Some(node) = &fleet.nodes[0] else {
        return Ok(());
    };
    node.signal(Signal::Stop)?;
    Timer::after(FREEZE_TIME).await;
    node.signal(Signal::Continue)?;
    Ok(())
}

fn vms_in_zone(fleet: &Fleet, zone: &str) -> Vec<usize> {
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
