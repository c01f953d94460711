//! Child processes end with the process that started them, however that ends.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use leverpoint_test_support::child_process::spawn_process;
use leverpoint_test_support::wire::WAIT_LIMIT;

/// Set for the process that [`a_child_ends_with_the_process_that_started_it`] starts, and kills.
const PARENT_VARIABLE: &str = "LEVERPOINT_TEST_PARENT";

/// Runs in a process of its own: starts a child on a thread that ends, prints its process id and waits.
#[test]
fn parent_process() {
    if std::env::var_os(PARENT_VARIABLE).is_none() {
        return;
    }
    let spawned = std::thread::spawn(|| {
        spawn_process(Command::new("sleep").arg("600").stdout(Stdio::null()))
    });
    let mut child = spawned.join().unwrap();
    println!("child {}", child.id());
    child.wait().unwrap();
}

/// Guards against gateways that outlive a test and call the addresses of later ones.
#[test]
fn a_child_ends_with_the_process_that_started_it() {
    let mut parent = spawn_process(
        Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "parent_process", "--nocapture"])
            .env(PARENT_VARIABLE, "1")
            .stdout(Stdio::piped()),
    );
    let mut lines = BufReader::new(parent.stdout.take().unwrap())
        .lines()
        .map_while(Result::ok);
    let child: u32 = lines
        .find_map(|line| line.split_once("child ")?.1.parse().ok())
        .expect("the process id of the child");
    let status = format!("/proc/{child}/status");
    // It outlives the thread that asked for it.
    assert!(Path::new(&status).exists());
    parent.kill().unwrap();
    parent.wait().unwrap();
    let started_at = Instant::now();
    while std::fs::read_to_string(&status).is_ok_and(|status| !status.contains("State:\tZ")) {
        assert!(started_at.elapsed() < WAIT_LIMIT, "the child still runs");
        std::thread::sleep(Duration::from_millis(1));
    }
}
