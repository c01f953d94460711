//! Settings of a gateway with one zone, one tenant and three request classes: `view` reads, `report` writes idempotent by
//! key, and `order` writes that are not idempotent.

/// What tests vary in the settings; times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Client timeout of all classes.
    pub client_timeout: u32,
    /// Latency objective of all classes.
    pub latency_objective: u32,
    /// How much later than its client timeout an answer is still of use.
    pub answer_slack: u32,
    /// Time to establish a connection to a server.
    pub connect_timeout: u32,
    /// Time in which an idempotency key holds.
    pub key_validity: u32,
    /// Requests a second that the tenant may send.
    pub tenant_quota: u32,
}

impl Default for Settings {
    /// Timeouts that no test reaches, but for connections to servers.
    fn default() -> Settings {
        Settings {
            client_timeout: 60_000,
            latency_objective: 30_000,
            answer_slack: 5_000,
            connect_timeout: 250,
            key_validity: 3_000,
            tenant_quota: 100,
        }
    }
}

impl Settings {
    /// Client timeouts and objectives as deployments have them.
    #[must_use]
    pub fn usual() -> Settings {
        Settings {
            client_timeout: 2_000,
            latency_objective: 400,
            answer_slack: 20,
            key_validity: 2_000,
            tenant_quota: 100_000,
            ..Settings::default()
        }
    }

    /// Returns the settings as JSON.
    #[must_use]
    pub fn to_json(self) -> String {
        let Settings {
            client_timeout,
            latency_objective,
            answer_slack,
            connect_timeout,
            key_validity,
            tenant_quota,
        } = self;
        format!(
            r#"{{"balancers": 1, "me": 0, "tickMs": 5.0, "zone": 0, "zones": ["a"], "discovery": "pushed",
    "contract": {{"answerSlackMs": {answer_slack}.0, "coldMs": 9000.0, "fallMs": 1500.0, "fallMultiple": 2.5,
     "startCapacity": 0.2, "stopSendingWithinMs": 500.0}},
    "familyInfo": {{"guards": "reject", "listRole": "delayed", "oldestDataMs": [0.0, 0.0, 0.0],
     "readLevel": ["loose", "update", "update"], "stamps": true, "tokens": "router"}},
    "grades": [
     {{"name": "view", "aimMs": {latency_objective}.0, "deadlineMs": {client_timeout}.0, "semantics": "pure", "worth": 1.0,
      "lateWorth": 1.0}},
     {{"name": "report", "aimMs": {latency_objective}.0, "deadlineMs": {client_timeout}.0, "semantics": "token",
      "group": "cell", "keyTtlMs": {key_validity}.0, "worth": 3.0, "lateWorth": 0.5}},
     {{"name": "order", "aimMs": {latency_objective}.0, "deadlineMs": {client_timeout}.0, "semantics": "side_effect",
      "worth": 3.0}}],
    "policyLimits": {{"sendCap": 4, "retryAfter": true, "maxRetryAfterMs": 2000.0, "connectTimeoutMs": {connect_timeout}.0,
     "idleCloseMs": 15000.0}},
    "tenants": [{{"name": "acme", "share": 1.0, "quotaPerS": {tenant_quota}.0}}]}}"#
        )
    }
}
