//! Rules text of a deployment.

use std::fmt::Write;

use crate::deployment::DEADLINE;
use crate::deployment::Deployment;
use crate::vm::Port;
use crate::vm::Vm;

/// Part of a deployment's rules that changes between versions.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Availability zones that are out of service.
    pub zones_out: Vec<String>,
    /// Number in a comment, which makes each version's text unique.
    pub revision: u64,
}

/// Returns the rules text of a deployment.
pub fn render(deployment: &Deployment, vms: &[Vm], changes: &Changes) -> String {
    let mut text = String::new();
    write_rules(&mut text, deployment, vms, changes).expect("writing to a String never fails");
    text
}

fn write_rules(
    f: &mut String,
    deployment: &Deployment,
    vms: &[Vm],
    changes: &Changes,
) -> std::fmt::Result {
    writeln!(f, "# Revision {}.", changes.revision)?;
    writeln!(f, "epoch 1  # operations")?;
    for zone in deployment.zones {
        writeln!(f, "zone {zone} region={}  # operations", deployment.region)?;
    }
    write_services(f, deployment)?;
    for vm in vms {
        let (peer, control) = (vm.address(Port::Peer), vm.address(Port::Control));
        let Vm {
            name,
            zone,
            service,
            ..
        } = vm;
        write!(f, "upstream up-{name} service={service} zone={zone} ")?;
        writeln!(f, "vm={name} peer={peer} control={control}  # operations")?;
    }
    for zone in &changes.zones_out {
        writeln!(f, "out zone={zone}  # night shift")?;
    }
    Ok(())
}

fn write_services(f: &mut String, deployment: &Deployment) -> std::fmt::Result {
    let (slots, connections) = (deployment.slots, deployment.connections);
    for service in deployment.services {
        let name = service.name;
        writeln!(
            f,
            "service {name} slots={slots} cold-slots=1 connections={connections}  # operations"
        )?;
        writeln!(f, "retry {name} attempts=2 budget=10%  # operations")?;
        for kind in service.kinds {
            let semantics = if kind.idempotent {
                "idempotent"
            } else {
                "at-most-once"
            };
            let deadline = humantime::format_duration(DEADLINE);
            let (label, path, method) = (kind.name, kind.path, kind.method);
            writeln!(
                f,
                "kind {name}/{label} semantics={semantics} deadline={deadline}  # operations"
            )?;
            write!(f, "route {label} path={path} method={method} ")?;
            writeln!(f, "service={name} kind={label}  # operations")?;
        }
    }
    Ok(())
}
