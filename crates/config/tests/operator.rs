//! The operator's file: the configuration that it results in, and the error for each invalid file.

use leverpoint_backpressure::Limits;
use leverpoint_backpressure::limits::ProcessResources;
use leverpoint_config::operator::{self, OperatorConfig};

const LONGEST_MESSAGE: usize = 136 << 10;

fn default_limits() -> Limits {
    let (memory, descriptors) = (32 << 20, 1_024);
    Limits::from_resources(&ProcessResources {
        memory,
        descriptors,
        unreserved_per_connection: 8 << 10,
        max_message: LONGEST_MESSAGE,
        connect_timeout: 2_500,
    })
}

fn parse(text: &str) -> Result<OperatorConfig, String> {
    operator::from_text("operator.hcl", text).map_err(|error| error.to_string())
}

#[test]
fn stated_limits_override_those_that_follow_from_the_machine() {
    assert_eq!(
        parse("")
            .unwrap()
            .backpressure_limits(default_limits(), LONGEST_MESSAGE)
            .unwrap(),
        default_limits()
    );
    let text = "# phones\nslow {\n  least_rate = \"4KiB/s\"\n  grace = \"1500ms\"\n  stall = \"2s\"\n  all = \"2MiB\"\n}\n";
    let overridden = parse(text)
        .unwrap()
        .backpressure_limits(default_limits(), LONGEST_MESSAGE)
        .unwrap();
    assert_eq!(
        (
            overridden.min_rate,
            overridden.grace,
            overridden.stall_timeout
        ),
        (4 << 10, 15_000, 20_000)
    );
    assert!(
        overridden.unproven_total <= overridden.total
            && overridden.slow_total <= overridden.unproven_total
            && overridden.total == 2 << 20
    );
}

#[test]
fn an_error_is_one_line_with_file_line_key_and_expected_value() {
    let texts = [
        "slow {\n  least_rate = \"8KiB\"\n}",
        "slow {\n  grace = 2\n}",
        "slow {\n\n  leastrate = \"8KiB/s\"\n}",
        "slow {}\nfast {}",
        "slow {}\nslow {}",
        "slow = 3",
        "slow \"phones\" {}",
        "slow {\n  connections = 0\n}",
        "slow {\n  caps = \"no\"\n}",
        "slow {\n  grace = \"2s\"\n",
        "slow {\n  one_peer = \"64KiB\"\n}",
        "slow {\n  newcomers = \"1MiB\"\n  slow = \"2MiB\"\n}",
        "slow {\n  all = \"2MiB\"\n  customer = \"3MiB\"\n}",
    ];
    let mut out = String::new();
    for text in texts {
        let result = parse(text).and_then(|o| {
            o.backpressure_limits(default_limits(), LONGEST_MESSAGE)
                .map_err(|e| e.to_string())
        });
        out += &format!(
            "{}\n",
            result.expect_err(text).lines().next().unwrap_or_default()
        );
    }
    insta::assert_snapshot!(out);
}

#[test]
fn changed_keys_names_the_keys_that_differ() {
    let old = parse("slow {\n  grace = \"2s\"\n  kernel = \"16KiB\"\n}").unwrap();
    let new = parse("slow {\n  grace = \"3s\"\n  stall = \"1s\"\n  kernel = \"16KiB\"\n}").unwrap();
    assert_eq!(old.changed_keys(&new), ["slow.grace", "slow.stall"]);
}

#[test]
fn an_incomplete_members_block_is_rejected_by_its_key() {
    let key = "7:00112233445566778899aabbccddeeff";
    let members_block = |more_keys: &str| {
        format!(
            "members {{\n  listen = \"127.0.0.1:7432\"\n  fleet = \"f\"\n  keys = [\"{key}\"]\n{more_keys}}}"
        )
    };
    let membership = |text: &str| {
        parse(text).and_then(|o| o.membership("n0", "a", 256).map_err(|e| e.to_string()))
    };
    assert!(membership("").unwrap().is_none());
    let settings = membership(&members_block(
        "  beat = \"100ms\"\n  seeds = [\"127.0.0.1:7433\"]\n",
    ))
    .unwrap()
    .unwrap();
    assert_eq!(
        (
            settings.config.probe_interval,
            settings.config.probe_timeout,
            settings.config.join_delay
        ),
        (1_000, 300, 4_000)
    );
    assert_eq!(
        (
            settings.zone.as_str(),
            settings.machine.as_str(),
            settings.max_connections
        ),
        ("a", "n0", 16)
    );
    let texts = [
        "members {\n  listen = \"here\"\n}".to_owned(),
        "members {\n  listen = \"0.0.0.0:7432\"\n}".to_owned(),
        "members {\n  listen = \"127.0.0.1:7432\"\n}".to_owned(),
        "members {\n  listen = \"127.0.0.1:7432\"\n  fleet = \"f\"\n}".to_owned(),
        members_block("  seeds = [\"n1\"]\n"),
        members_block("  reach = { n1 = \"n1\" }\n"),
        members_block("  beat = \"10ms\"\n"),
        members_block("  beat = 100\n"),
        members_block("  founders = [\"\"]\n"),
        members_block("  connections = 100\n"),
        members_block("  connections = 2\n"),
        members_block("  address = \"127.0.0.1:0\"\n"),
        members_block("  zones = 3\n"),
        members_block("").replace(&format!("\"{key}\""), &format!("\"{key}\", \"{key}\"")),
        members_block("").replace(key, "seven"),
    ];
    let errors: Vec<String> = texts
        .iter()
        .map(|text| membership(text).expect_err(text))
        .collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn lists_of_1_024_members_are_accepted_and_one_more_is_rejected_by_its_key() {
    let members_file = |seeds: usize, founders: usize, reach: usize| {
        let address = |n: usize| format!("10.0.{}.{}:7432", n / 250, n % 250 + 1);
        let seeds: Vec<_> = (0..seeds).map(|n| format!("{:?}", address(n))).collect();
        let founders: Vec<_> = (0..founders).map(|n| format!("\"n{n}\"")).collect();
        let reach: String = (0..reach)
            .map(|n| format!("    n{n} = {:?}\n", address(n)))
            .collect();
        format!(
            "members {{\n  listen = \"127.0.0.1:7432\"\n  fleet = \"f\"\n  keys = [\"1:{}\"]\n  seeds = [{}]\n  \
             founders = [{}]\n  reach = {{\n{reach}  }}\n}}",
            "0a".repeat(16),
            seeds.join(", "),
            founders.join(", "),
        )
    };
    let membership = |text: &str| {
        parse(text).and_then(|o| o.membership("n0", "a", 4096).map_err(|e| e.to_string()))
    };
    let settings = membership(&members_file(1_024, 1_024, 1_024))
        .unwrap()
        .unwrap();
    assert_eq!(
        (
            settings.seeds.len(),
            settings.founders.len(),
            settings.address_overrides.len()
        ),
        (1_024, 1_024, 1_024)
    );
    assert!(settings.config.max_members >= 1_024);
    let layout = leverpoint_membership::layout::Layout::from_founders(&settings.founders);
    assert!(layout.is_valid() && layout.holders.len() == 1_024);
    for (text, key) in [
        (
            members_file(1_025, 1, 1),
            "members.seeds: expected a list of up to 1024 addresses",
        ),
        (
            members_file(1, 1_025, 1),
            "members.founders: expected a list of up to 1024 names",
        ),
        (
            members_file(1, 1, 1_025),
            "members.reach: expected up to 1024 addresses",
        ),
    ] {
        let error = membership(&text).unwrap_err();
        assert!(error.contains(key), "{error:.200}");
    }
}

#[test]
fn replication_requires_members_and_sessions() {
    let members = "members {\n  listen = \"127.0.0.1:7432\"\n  fleet = \"hall\"\n  keys = [\"1:00112233445566778899aabbccddeeff\"]\n}\n";
    let sessions = "sessions {\n  follow = true\n  number = \"8c1f30d27a5be964\"\n}\n";
    let texts = [
        "copies {\n  on = true\n}".to_owned(),
        format!("{members}copies {{\n  on = true\n}}"),
        format!("{members}{sessions}copies {{\n  on = true\n  copies = 4\n}}"),
        format!("{members}{sessions}copies {{\n  on = true\n  lease = \"50ms\"\n}}"),
        format!("{members}{sessions}copies {{\n  on = true\n  keeps = \"3s\"\n}}"),
    ];
    let mut out = String::new();
    for text in &texts {
        let result = parse(text).and_then(|o| o.replication(20_000).map_err(|e| e.to_string()));
        out += &format!("{}\n", result.expect_err(text));
    }
    let config = parse(&format!(
        "{members}{sessions}copies {{\n  on = true\n  waits = \"20ms\"\n}}"
    ))
    .unwrap();
    out += &format!("{:?}\n", config.replication(20_000).unwrap().unwrap());
    assert!(parse("").unwrap().replication(20_000).unwrap().is_none());
    insta::assert_snapshot!(out);
}
