//! Distribution of the configuration between nodes.

use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::support::FakeServer;
use crate::support::Vm;
use crate::support::call;
use crate::support::read_message;
use crate::support::rules;
use crate::support::settings;
use crate::support::start;
use crate::support::wait_for;

/// Interval at which the platform checks for a new value.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Text that the platform publishes, with its index.
#[derive(Clone, Default)]
struct Published(Arc<Mutex<(u64, String)>>);

impl Published {
    fn publish(&self, text: &str) {
        let mut value = self.0.lock().unwrap();
        *value = (value.0 + 1, text.to_owned());
    }

    fn get(&self) -> (u64, String) {
        self.0.lock().unwrap().clone()
    }
}

/// Starts a platform that holds a watch until the text changes.
fn start_platform(vm: Vm, published: Published) -> FakeServer {
    FakeServer::start(vm.platform(), move |mut stream| {
        while let Some((head, _)) = read_message(&mut stream) {
            let known = head
                .split("index=")
                .nth(1)
                .and_then(|s| s.split('&').next());
            let known = known.and_then(|s| s.parse().ok());
            while known == Some(published.get().0) {
                let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
                if matches!(stream.read(&mut [0]), Ok(0)) {
                    return;
                }
                thread::sleep(POLL_INTERVAL);
            }
            let _ = stream.set_read_timeout(None);
            let (index, text) = published.get();
            let length = text.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-consul-index: {index}\r\ncontent-length: {length}\r\n\r\n{text}"
            );
            let _ = stream.write_all(answer.as_bytes());
        }
    })
}

fn node_settings(i: usize, vm: Vm, platform: Vm, seed: Option<Vm>) -> String {
    let seeds = seed.map_or(String::new(), |seed| {
        let (peer, control) = (seed.peer(), seed.control());
        format!("seeds:\n- peer: {peer}\n  control: {control}\n")
    });
    settings(vm, platform, &seeds).replacen("vm-1", &format!("vm-{i}"), 1)
}

fn has_version(vm: Vm, index: u64) -> bool {
    let dump = call(vm.operators(), "GET", "/dump", "").body;
    let dump: Value = serde_json::from_str(&dump).unwrap();
    dump["configuration"]["version"]["index"] == index
}

/// Nodes that cannot reach the platform pull the configuration from their seed.
#[test]
fn learned_from_peer() {
    let (platform, unreachable) = (Vm::next(), Vm::next());
    let vms = [Vm::next(), Vm::next(), Vm::next()];
    let published = Published::default();
    published.publish(&rules(&vms));
    let _platform = start_platform(platform, published.clone());
    let first = start(&node_settings(1, vms[0], platform, None));
    let others = [
        start(&node_settings(2, vms[1], unreachable, Some(vms[0]))),
        start(&node_settings(3, vms[2], unreachable, Some(vms[0]))),
    ];
    assert!(vms.iter().all(|vm| has_version(*vm, 1)));
    published.publish(&(rules(&vms) + "out zone=glasgow  # test\n"));
    wait_for(|| vms.iter().all(|vm| has_version(*vm, 2)));
    drop((first, others));
}
