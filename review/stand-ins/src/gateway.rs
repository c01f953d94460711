//! The gateway: a process of its own, started with the command `run` of the deploy file.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client};

/// Processes that run, by their ids.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all gateways that run.
pub fn end_all() {
    let running = RUNNING.lock().map(|mut ids| std::mem::take(&mut *ids));
    for id in running.unwrap_or_default() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

pub struct Gateway {
    child: Child,
    pub address: String,
}

/// A loopback address with a port that was free a moment ago.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .unwrap_or_else(|e| crate::cannot_run(&format!("no address: {e}")));
    listener.local_addr().unwrap().to_string()
}

fn repository() -> PathBuf {
    PathBuf::from(
        std::env::var("REPOSITORY").unwrap_or_else(|_| crate::cannot_run("REPOSITORY is not set")),
    )
}

/// The command of the deploy file that starts a gateway.
fn run_command() -> String {
    let text = std::fs::read_to_string(repository().join("deploy/balancer.toml"))
        .unwrap_or_else(|e| crate::cannot_run(&format!("deploy file: {e}")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command
        .unwrap_or_else(|| crate::cannot_run("no `run` in the deploy file"))
        .to_owned()
}

/// A folder for the files of this case, given by its script.
pub fn folder() -> PathBuf {
    PathBuf::from(
        std::env::var("FOLDER").unwrap_or_else(|_| crate::cannot_run("FOLDER is not set")),
    )
}

impl Gateway {
    /// Starts a gateway with this configuration and waits until it answers an empty query. `arguments` follow the
    /// command of the deploy file.
    pub fn start(address: &str, configuration: &str, arguments: &str, log: &str) -> Gateway {
        let path = folder().join(format!("{log}.json"));
        std::fs::write(&path, configuration).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let child = spawn(&path, arguments, &folder().join(format!("{log}.log")));
        RUNNING.lock().unwrap().insert(child.id());
        let mut gateway = Gateway {
            child,
            address: address.to_owned(),
        };
        let started = Instant::now();
        while Client::new(address).query("") != Answer::Row(String::new()) {
            let ended = gateway
                .child
                .try_wait()
                .is_ok_and(|status| status.is_some());
            if ended || started.elapsed() > Duration::from_secs(15) {
                let text = std::fs::read_to_string(folder().join(format!("{log}.log")))
                    .unwrap_or_default();
                gateway.kill();
                crate::cannot_run(&format!("the gateway does not serve: {text}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        gateway
    }

    /// Sends SIGTERM and waits for the exit; returns whether the gateway exited with 0 within `limit`.
    pub fn terminate(mut self, limit: Duration) -> bool {
        let _ = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                RUNNING.lock().unwrap().remove(&self.child.id());
                return status.success();
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().remove(&self.child.id());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(configuration: &Path, arguments: &str, log: &Path) -> Child {
    let log = File::create(log).unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
    let command = format!("{} {arguments}", run_command());
    Command::new("/bin/sh")
        .args(["-c", &command])
        .current_dir(repository())
        .env("NODE_CONFIG", configuration)
        .env_remove("NODE_NAME")
        .env_remove("NODE_LISTEN")
        .env_remove("NODE_DISCOVERY")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| crate::cannot_run(&format!("{command}: {e}")))
}

/// Settings of a small deployment: four command groups as the first users have them. `discovery` is `pushed` or
/// `on_request`, `guards` is what servers do with reads that they are too far behind for.
pub fn settings(discovery: &str, guards: &str) -> String {
    format!(
        r#"{{"balancers":2,"me":0,"tickMs":5.0,"zone":0,"zones":["a"],"tier":0,"tiers":["results-db"],"discovery":"{discovery}",
 "clients":{{"marksRetry":true}},
 "contract":{{"answerSlackMs":20.0,"askEveryMs":10000.0,"coldMs":17000.0,"fallMs":1500.0,"fallMultiple":2.5,"startCapacity":0.18,"stopSendingWithinMs":500.0}},
 "familyInfo":{{"catchUpWaitMs":0.0,"guards":"{guards}","listRole":"delayed","oldestDataMs":[3000.0,0.0,0.0,0.0],
  "readLevel":["recent","own_writes","loose","update"],"stamps":true,"sync":false,"tokens":"router","zeroMs":0.0}},
 "flavors":["m"],"kindOfService":"replicas","overShareWorth":0.1,"valueBy":"request","weightSource":"nominal",
 "grades":[
  {{"name":"board-view","aimMs":600.0,"deadlineMs":2000.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"lateWorth":0.0,"stream":false,"worth":1.0}},
  {{"name":"own-result","aimMs":400.0,"deadlineMs":1500.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"lateWorth":0.0,"stream":false,"worth":2.0}},
  {{"name":"history","aimMs":500.0,"deadlineMs":1200.0,"semantics":"pure","group":"all","keyTtlMs":5000.0,"lateWorth":0.0,"stream":false,"worth":1.0}},
  {{"name":"report","aimMs":300.0,"deadlineMs":2000.0,"semantics":"token","group":"cell","keyTtlMs":2000.0,"lateWorth":0.3,"stream":false,"worth":3.0}}],
 "policyLimits":{{"cancel":true,"connectTimeoutMs":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"idleCloseMs":15000.0,"maxOpen":20000,
  "maxRetryAfterMs":2000.0,"mayProbe":false,"peerMessages":false,"retryAfter":true,"secondCopies":true,"sendCap":8,"streamsPerConn":8}},
 "report":{{"how":"none","names":[]}},
 "tenants":[{{"name":"acme","quotaPerS":500.0,"share":1.0}}]}}"#
    )
}

/// The configuration file of a gateway.
pub fn configuration(address: &str, discovery: &str, known: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}
