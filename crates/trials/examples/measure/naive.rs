//! What a naive client does: round robin over all targets, three tries on any
//! error, no admission.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_io::Timer;
use celeryshore_standins::executor::spawn;
use celeryshore_trials::caller::Caller;
use celeryshore_trials::caller::Record;
use celeryshore_trials::deployment::DEADLINE;
use celeryshore_trials::fleet::Port;
use celeryshore_trials::fleet::Vm;
use celeryshore_trials::load::Load;

const TRIES: u32 = 3;

/// Sends a load straight to the targets.
pub async fn run(load: Load, vms: Vec<Vm>) -> Vec<Record> {
    let caller = Arc::new(Caller::default());
    let mut targets: HashMap<&str, Vec<SocketAddr>> = HashMap::new();
    for vm in &vms {
        let address = vm.address(Port::Target);
        targets.entry(&vm.service).or_default().push(address);
    }
    let start = Instant::now();
    let mut calls = Vec::new();
    for (i, kind) in (0_u32..).zip(load.kinds.iter().cycle()) {
        let at = load.pause * i;
        if at >= load.duration {
            break;
        }
        Timer::at(start + at).await;
        let Some(targets) = targets.get_mut(kind.service) else {
            continue;
        };
        targets.rotate_left(1);
        let (caller, kind, targets) = (caller.clone(), *kind, targets.clone());
        let call = async move { caller.call(kind, &targets, TRIES, DEADLINE).await };
        calls.push(spawn(call));
    }
    let mut records = Vec::new();
    for call in calls {
        records.push(call.await);
    }
    records
}
