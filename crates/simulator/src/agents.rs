//! Owns discovery's agents of one run, one on each gateway's machine.
//!
//! It must never say anything but the list as published. What an agent has learnt counts as told to its gateway, whether
//! or not a call was open. A silent agent learns nothing, and calls that meet its silence are never answered: the gateway
//! has to make a new one once it is back.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_cluster_model::endpoint_list::Phase;
use leverpoint_runtime::{Listener, now, sleep, timeout_at};

use crate::course::{CLOSES, Play, address};
use crate::talk::Talk;

impl Play {
    /// The agent on a gateway's own machine.
    pub(crate) async fn agent(self: Rc<Self>, n: usize, second: bool) {
        let door = self.sim.listen(
            self.agent_process(n),
            address(if second { 3 } else { 2 }, n),
        );
        let listener = Listener::Simulated(door);
        while let Ok(stream) = listener.accept().await {
            let play = self.clone();
            let serves = move || play.place.agent_moved.borrow()[n] == second;
            // The address that a configuration no longer names accepts nothing, and soon closes what is open.
            if !serves() {
                continue;
            }
            let play = self.clone();
            leverpoint_runtime::spawn(async move {
                let closes = async {
                    while serves() {
                        sleep(Duration::from_millis(50)).await;
                    }
                    sleep(CLOSES).await;
                };
                tokio::select! {
                    biased;
                    _ = play.agent_talks(n, Talk::new(stream)) => {}
                    () = closes => {}
                }
            });
        }
    }

    /// The agent of that gateway hears of what was published since it last did, unless it is silent.
    pub(crate) fn agent_learns(&self, n: usize) {
        if self.place.agent_silent.borrow()[n] {
            return;
        }
        let list = self.place.list.borrow();
        let known = self.place.agent_knows.borrow_mut()[n].replace(list.revision());
        for entry in list.changed_since(known) {
            let wanted = entry.phase == Phase::Up;
            self.checker
                .borrow_mut()
                .on_phase_announced(self.now(), n, entry.server, wanted);
        }
    }

    /// The agent falls silent, or is back.
    pub(crate) fn agent_silent(&self, n: usize, silent: bool) {
        self.place.agent_silent.borrow_mut()[n] = silent;
        self.place.agent_silences.borrow_mut()[n] += u64::from(silent);
        self.agent_learns(n);
    }

    pub(crate) async fn agent_talks(&self, n: usize, mut talk: Talk) -> std::io::Result<()> {
        loop {
            let head = talk.up_to("\r\n\r\n").await?;
            let path = head.split(' ').nth(1).unwrap_or_default();
            let number = |name: &str| {
                let (_, rest) = path.split_once(name)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let since = number("index=");
            let silences = self.place.agent_silences.borrow()[n];
            let met_silence = || {
                self.place.agent_silent.borrow()[n]
                    || self.place.agent_silences.borrow()[n] != silences
            };
            if let Some(since) = since {
                let until = now() + Duration::from_millis(number("wait=").unwrap_or(0));
                while self.place.list.borrow().revision() <= since {
                    if timeout_at(until, self.place.published.notified())
                        .await
                        .is_err()
                    {
                        break;
                    }
                }
            }
            if met_silence() {
                continue;
            }
            let body = self.list_text(since);
            talk.say(
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .as_bytes(),
            )
            .await?;
        }
    }
}
