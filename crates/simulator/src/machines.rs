//! Owns the database machines of one run, as connections see them.
//!
//! It must never decide what a statement comes to: that is the emulator's word.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_cluster_model::Ticks;
use leverpoint_cluster_model::replica_set::{self, Reply};
use leverpoint_runtime::{Listener, sleep};
use leverpoint_test_support::replica_set::{comment_value, encode_response, encode_status};

use crate::checker::Outcome;
use crate::course::{Play, address, facts};
use crate::gateway_script::RequestClass;
use crate::talk::Talk;
use crate::world::{EventSource, UNIX};

impl Play {
    pub(crate) async fn machine(self: Rc<Self>, n: usize) {
        let door = self.sim.listen(self.machine_process(n), address(1, n));
        let listener = Listener::Simulated(door);
        while let Ok(stream) = listener.accept().await {
            let play = self.clone();
            leverpoint_runtime::spawn(async move {
                let _ = play.machine_talks(n, Talk::new(stream)).await;
            });
        }
    }

    pub(crate) async fn machine_talks(&self, n: usize, mut talk: Talk) -> std::io::Result<()> {
        let (set, member) = self.set_of(n);
        let head = talk.exactly(4).await?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        talk.exactly(length.clamp(4, 4096) - 4).await?;
        talk.say(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").await?;
        loop {
            let (_, body) = talk.message(usize::MAX).await?;
            let text = String::from_utf8_lossy(&body)
                .trim_end_matches('\0')
                .to_owned();
            let Some(id) = comment_value(&text, "id").map(str::to_owned) else {
                return Ok(());
            };
            // The first part of an id names the gateway whose front its client chose.
            let gateway = id
                .split('-')
                .nth(1)
                .and_then(|g| g.parse().ok())
                .unwrap_or(0);
            self.checker.borrow_mut().came(self.now(), &id, gateway, n);
            self.sim
                .record(EventSource::Machine, (n, &id), || format!("{n} hears {id}"));
            let wait: Ticks = comment_value(&text, "d")
                .and_then(|d| d.parse::<i64>().ok())
                .unwrap_or(0)
                * 10;
            let arrived = self.now();
            let place = self.place.sets.borrow_mut()[set].admit(arrived, member);
            if self.place.sets.borrow()[set].servers[member].crashed_by_overload {
                self.checker.borrow_mut().fell(self.now(), n);
            }
            let (reply, position, effect) = match place {
                Err(reply) => (reply, 0, false),
                Ok(begins) => {
                    let mut begins = begins;
                    while !begins && self.now() < arrived + wait {
                        sleep(Duration::from_millis(1)).await;
                        begins = self.place.sets.borrow_mut()[set].start_queued(self.now(), member);
                    }
                    if !begins {
                        self.place.sets.borrow_mut()[set].abandon_queued(member);
                        (Reply::Full, 0, false)
                    } else {
                        let group = comment_value(&text, "c").unwrap_or_default().to_owned();
                        let (least, most) = work(&group);
                        let takes = self.sim.chance.borrow_mut().i64(least..=most);
                        sleep(Duration::from_micros(takes as u64 * 100)).await;
                        let write = text.starts_with("INSERT");
                        let checks = self.scenario.check != "none";
                        let owed = self.checker.borrow().owed(&id).filter(|_| checks);
                        let ask = replica_set::Statement {
                            is_write: write,
                            idempotency_key: comment_value(&text, "k"),
                            required_position: owed,
                        };
                        self.place.sets.borrow_mut()[set].complete(self.now(), member, &ask)
                    }
                }
            };
            let never = reply != Reply::Row;
            let outcome = if never {
                Outcome::Never
            } else {
                Outcome::MayHave
            };
            self.checker
                .borrow_mut()
                .came_to(self.now(), &id, n, outcome, effect);
            self.sim
                .record(EventSource::MachineAnswer, (n, &id, reply), || {
                    format!("{n} answers {id}: {reply:?}")
                });
            let primary = self.place.sets.borrow()[set].is_primary(member);
            if reply == Reply::Row && !text.starts_with("INSERT") {
                let excused = primary || self.place.was_primary.borrow().contains_key(&n);
                self.checker
                    .borrow_mut()
                    .read(self.now(), &id, position, excused);
            }
            let mut out = encode_response(reply, &text, &id);
            if self.place.spoils.borrow()[n] && self.sim.chance.borrow_mut().u8(..2) == 0 {
                // A flaw in the framing, as a value that is only another value can be told by nobody.
                let described = 1 + u32::from_be_bytes([out[1], out[2], out[3], out[4]]) as usize;
                let in_row = out.len() > described + 11 && self.sim.chance.borrow_mut().bool();
                let from = if in_row { described + 7 } else { 0 };
                let at = from + self.sim.chance.borrow_mut().usize(..4);
                out[at] ^= 0x55;
                let _ = talk.say(&out).await;
                // The connection stays open and is of no further use.
                sleep(Duration::from_secs(3)).await;
                return Ok(());
            }
            let at = self.place.sets.borrow()[set]
                .applied_position(self.now(), member)
                .max(position);
            encode_status(
                &mut out,
                primary,
                Some(UNIX.as_millis() as f64 + at as f64 / 10.0),
            );
            talk.say(&out).await?;
        }
    }
}

fn work(group: &str) -> (Ticks, Ticks) {
    let groups = [
        RequestClass::Board,
        RequestClass::Own,
        RequestClass::History,
        RequestClass::Report,
        RequestClass::Order,
    ];
    groups
        .into_iter()
        .map(facts)
        .find(|f| f.name == group)
        .map_or((50, 150), |f| f.work)
}
