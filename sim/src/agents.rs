//! Owns discovery's agents of one run, one on each gateway's machine.
//!
//! It must never say anything but the list as published.

use std::rc::Rc;
use std::time::Duration;

use leverpoint_emulator::list::Phase;
use leverpoint_ground::{Listener, now, sleep, timeout_at};

use crate::course::{CLOSES, Play, address};
use crate::talk::Talk;

impl Play {
    /// The agent on a gateway's own machine.
    pub(crate) async fn agent(self: Rc<Self>, n: usize, second: bool) {
        let door = self.sim.listen(self.agent_process(n), address(if second { 3 } else { 2 }, n));
        let listener = Listener::World(door);
        while let Ok(stream) = listener.accept().await {
            let play = self.clone();
            let serves = move || play.place.agent_moved.borrow()[n] == second;
            // The address that a configuration no longer names accepts nothing, and soon closes what is open.
            if !serves() {
                continue;
            }
            let play = self.clone();
            leverpoint_ground::spawn(async move {
                let closes = async {
                    while serves() {
                        sleep(Duration::from_millis(50)).await;
                    }
                    sleep(CLOSES).await;
                };
                tokio::select! {
                    biased;
                    _ = play.agent_talks(n, Talk::new(stream)) => {}
                    _ = closes => {}
                }
            });
        }
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
            if let Some(since) = since {
                let until = now() + Duration::from_millis(number("wait=").unwrap_or(0));
                while self.place.list.borrow().revision() <= since {
                    if timeout_at(until, self.place.published.notified()).await.is_err() {
                        break;
                    }
                }
            }
            while self.place.agent_silent.borrow()[n] {
                sleep(Duration::from_millis(50)).await;
            }
            let body = self.list_text(since);
            // Told once it is written.
            for entry in self.place.list.borrow().since(since) {
                let wanted = entry.phase == Phase::Up;
                self.checker.borrow_mut().told(self.now(), n, entry.machine, wanted);
            }
            talk.say(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
                .await?;
        }
    }
}
