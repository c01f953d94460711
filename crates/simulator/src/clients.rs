//! Owns the clients of one run: what they ask, where they go next, and what they make of what they hear.
//!
//! It must never send a mutating command again that may have run.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_cluster_model::Ticks;
use leverpoint_runtime::{Stream, sleep, sleep_until, timeout_at};
use leverpoint_test_support::client::ResponseOutcome;
use leverpoint_test_support::client::{classify_response, notice_detail};
use leverpoint_test_support::values::expected_value;
use leverpoint_test_support::wire::{STARTUP_MESSAGE, put_message, query_message};

use crate::checker::{Effects, Final};
use crate::course::{Facts, LATENCY, Play, address, facts};
use crate::gateway_script::{RequestClass, ScriptedRequest};
use crate::talk::Talk;
use crate::world::EventSource;

impl Play {
    /// One client: its commands in their order, each on the connection it has.
    pub(crate) async fn client(self: Rc<Self>, n: usize, asks: Vec<ScriptedRequest>, slow: bool) {
        let mut gateway = n % self.scenario.gateways;
        let mut talk: Option<(Talk, u64)> = None;
        let at_a_time = if slow { 64 } else { usize::MAX };
        for ask in asks {
            sleep_until(self.sim.instant(ask.at)).await;
            let facts = facts(ask.class);
            self.asked.set(self.asked.get() + facts.benefit);
            let ends = self.now() + facts.timeout;
            let began = self.now();
            let key = format!("k{n}x{}", ask.at);
            let hangs_up = ask.hangs_up.map(|after| self.sim.instant(began + after));
            let mut repeats = 0;
            while self.now() < ends {
                if repeats == 0 && self.sim.chance.borrow_mut().f64() < self.scenario.roams {
                    talk = None;
                    gateway = self.sim.chance.borrow_mut().usize(..self.scenario.gateways);
                }
                // A front learns late that a gateway has died, and tries the next.
                if talk.is_none() {
                    talk = self
                        .connect(gateway, ends)
                        .await
                        .map(|t| (t, self.life(gateway)));
                    if talk.is_none() {
                        gateway = (gateway + 1) % self.scenario.gateways;
                        sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                }
                let Some((line, life)) = &mut talk else {
                    continue;
                };
                if line.begun() {
                    self.checker.borrow_mut().unasked(self.now(), gateway);
                }
                let id = format!(
                    "c{n}-{gateway}-{}",
                    self.next_id.replace(self.next_id.get() + 1)
                );
                let (text, length, owed) = self.statement(
                    &ask,
                    &facts,
                    n,
                    &id,
                    &key,
                    ends,
                    repeats > 0,
                    gateway,
                    *life,
                );
                let bytes = query_message(&text);
                if line.say(&bytes).await.is_err() {
                    talk = None;
                    continue;
                }
                let sent = self.now();
                self.checker.borrow_mut().sent(
                    sent,
                    &id,
                    gateway,
                    facts.effects,
                    ends,
                    length,
                    owed,
                );
                if self.scenario.sessions && ask.class == RequestClass::Own {
                    let history = self.tokens.borrow().get(&n).map(|(at, ..)| *at);
                    self.checker.borrow_mut().follows(&id, history);
                }
                let waits = sent + 2 * LATENCY.1 + 1_000 + ends - sent;
                let until = hangs_up.unwrap_or(self.sim.instant(waits));
                let mut heard = Vec::new();
                let answer = timeout_at(until, hear(line, &mut heard, at_a_time)).await;
                let whole = match answer {
                    Ok(Ok(())) => true,
                    // It ended with an error, whole, and without being ready for more.
                    Ok(Err(_)) => heard.first() == Some(&b'E') && !line.begun(),
                    Err(_) => {
                        // Its client goes.
                        self.checker.borrow_mut().released(&id);
                        talk = None;
                        break;
                    }
                };
                let ready = matches!(answer, Ok(Ok(())));
                if !whole {
                    let begun = !heard.is_empty() || line.begun();
                    self.checker.borrow_mut().cut(self.now(), &id, begun);
                    talk = None;
                    gateway = (gateway + 1) % self.scenario.gateways;
                    repeats += 1;
                    if facts.effects == Effects::Mutating {
                        // It may have run: whoever sent it does not know.
                        break;
                    }
                    continue;
                }
                let life = *life;
                let value = value_of(&heard);
                let verdict = classify_response(&heard, &expected_value(&id, length));
                let how = match verdict {
                    ResponseOutcome::Answered | ResponseOutcome::Wrong => Final::Answered,
                    ResponseOutcome::Throttled(_) => Final::Throttled,
                    ResponseOutcome::Failed => Final::Failed,
                };
                self.sim.record(EventSource::Client, (n, how, &id), || {
                    format!("{n} hears {how:?} to {id}")
                });
                self.checker
                    .borrow_mut()
                    .answered(self.now(), &id, how, &value);
                if !ready {
                    talk = None;
                }
                match verdict {
                    ResponseOutcome::Answered => {
                        let took = self.now() - began;
                        let worth = if took <= facts.target {
                            facts.benefit
                        } else {
                            facts.benefit * facts.late
                        };
                        self.benefit.set(self.benefit.get() + worth);
                        if let Some(token) = notice_detail(&heard) {
                            self.carried.borrow_mut().insert(n, token);
                        }
                        if matches!(ask.class, RequestClass::Report | RequestClass::Order) {
                            // What a later read of the session must see through the same gateway's life: no more
                            // than when it was sent, as the commit lies behind.
                            self.tokens.borrow_mut().insert(n, (sent, gateway, life));
                        }
                        break;
                    }
                    ResponseOutcome::Throttled(ms) => {
                        repeats += 1;
                        sleep(Duration::from_millis(ms.max(50))).await;
                    }
                    ResponseOutcome::Failed if facts.effects == Effects::Mutating => break,
                    ResponseOutcome::Failed => {
                        repeats += 1;
                        sleep(Duration::from_millis(100)).await;
                    }
                    ResponseOutcome::Wrong => break,
                }
            }
        }
    }

    /// The statement of a command, how long its value is to be, and what it owes.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn statement(
        &self,
        ask: &ScriptedRequest,
        facts: &Facts,
        client: usize,
        id: &str,
        key: &str,
        ends: Ticks,
        repeat: bool,
        gateway: usize,
        life: u64,
    ) -> (String, usize, Option<Ticks>) {
        let wait = (ends - self.now()) / 10;
        // The quoted key names the session, and how long its values are.
        let length = if client.is_multiple_of(7) { 6_000 } else { 300 };
        let session = format!("{length}-s{client}");
        let mut comment = format!(
            "id={id},c={},t=club,d={wait},cluster={}",
            facts.name, ask.set
        );
        if repeat {
            comment += ",r=1";
        }
        if matches!(ask.class, RequestClass::Report | RequestClass::Order) {
            if ask.class == RequestClass::Report {
                comment += &format!(",k={key}");
            }
            let text = format!(
                "INSERT INTO records (k, v) VALUES ('{session}', '\\x9f') RETURNING v /* {comment} */"
            );
            return (text, 64, None);
        }
        if ask.class == RequestClass::Own
            && let Some(token) = self.carried.borrow().get(&client)
        {
            // One in three carries its token, one in twelve a forged one; the others none.
            match self.sim.chance.borrow_mut().u8(..12) {
                0..=3 => comment += &format!(",after={token}"),
                4 => comment += &format!(",after={}x{}", &token[..16], &token[17..]),
                _ => {}
            }
        }
        let owed = match ask.class {
            RequestClass::Board => Some(self.now() - 30_000),
            RequestClass::Own => {
                let tokens = self.tokens.borrow();
                let known = tokens
                    .get(&client)
                    .filter(|(_, g, l)| (*g, *l) == (gateway, life));
                known.map(|(at, ..)| *at)
            }
            _ => None,
        };
        (
            format!("SELECT v FROM records WHERE k = '{session}' /* {comment} */"),
            length,
            owed,
        )
    }

    pub(crate) async fn connect(&self, gateway: usize, ends: Ticks) -> Option<Talk> {
        let until = self.sim.instant(ends.min(self.now() + 10_000));
        let stream = timeout_at(until, Stream::connect(address(0, gateway), None))
            .await
            .ok()?
            .ok()?;
        let mut talk = Talk::new(stream);
        talk.say(STARTUP_MESSAGE).await.ok()?;
        let admitted = timeout_at(until, async {
            loop {
                match talk.message(usize::MAX).await {
                    Ok((b'Z', _)) => return true,
                    Ok(_) => {}
                    Err(_) => return false,
                }
            }
        });
        admitted.await.ok().filter(|admitted| *admitted)?;
        Some(talk)
    }
}

/// Reads messages up to ReadyForQuery, or the end.
async fn hear(talk: &mut Talk, heard: &mut Vec<u8>, at_a_time: usize) -> std::io::Result<()> {
    loop {
        let (tag, body) = talk.message(at_a_time).await?;
        if at_a_time < 1_000 {
            sleep(Duration::from_millis(2)).await;
        }
        put_message(heard, tag, &body);
        if tag == b'Z' {
            return Ok(());
        }
    }
}

/// The value of the row in an answer, empty where there is none.
fn value_of(heard: &[u8]) -> Vec<u8> {
    let mut rest = heard;
    while let Some((tag, body)) = leverpoint_test_support::wire::read_message(&mut rest) {
        if tag == b'D' {
            let length = body
                .get(2..6)
                .map(|l| u32::from_be_bytes([l[0], l[1], l[2], l[3]]) as usize);
            let value = body.get(6..).unwrap_or_default().to_vec();
            // A value that is not as long as it says is none.
            return if length == Some(value.len()) {
                value
            } else {
                Vec::new()
            };
        }
    }
    Vec::new()
}
