//! The relays between members, one for each direction, which are told to spoil what they carry.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// What a relay does with the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    Sound,
    Cut,
    Mute,
    Slow(u64),
    Jitter(u64),
    Throttle(u64),
    Half,
    /// Ends in the middle of what comes next, once.
    Torn,
}

/// How each direction is now, from whom to whom.
pub type Links = Rc<RefCell<HashMap<(usize, usize), Link>>>;

/// Carries connections of one direction to where the member listens.
pub async fn relay(listener: TcpListener, to: String, link: (usize, usize), links: Links) {
    loop {
        let Ok((from, _)) = listener.accept().await else {
            return;
        };
        if links.borrow()[&link] == Link::Cut {
            continue;
        }
        let (to, links) = (to.clone(), links.clone());
        spawn_local(async move {
            let Ok(mut to) = TcpStream::connect(to).await else {
                return;
            };
            let mut from = from;
            let (mut from_reader, mut from_writer) = from.split();
            let (mut to_reader, mut to_writer) = to.split();
            let halved = Cell::new(false);
            let mut rand = oorandom::Rand64::new(link.0 as u128 * 8 + link.1 as u128);
            let there = async {
                let mut bytes = [0; 16 << 10];
                loop {
                    let n = from_reader.read(&mut bytes).await.unwrap_or(0);
                    let how = links.borrow()[&link];
                    match how {
                        _ if n == 0 => return,
                        Link::Cut => return,
                        Link::Mute => continue,
                        Link::Slow(ms) => sleep(Duration::from_millis(ms)).await,
                        Link::Jitter(ms) => {
                            sleep(Duration::from_millis(rand.rand_range(0..ms + 1))).await
                        }
                        Link::Throttle(rate) => {
                            sleep(Duration::from_secs_f64(n as f64 / rate as f64)).await
                        }
                        Link::Half => {
                            links.borrow_mut().insert(link, Link::Sound);
                            halved.set(true);
                            let _ = to_writer.shutdown().await;
                            // Whoever writes here is never told, also not by the end of the other direction.
                            while from_reader.read(&mut bytes).await.is_ok_and(|n| n > 0) {}
                            return;
                        }
                        Link::Torn => {
                            let _ = to_writer.write_all(&bytes[..n / 2]).await;
                            links.borrow_mut().insert(link, Link::Sound);
                            return;
                        }
                        Link::Sound => {}
                    }
                    if to_writer.write_all(&bytes[..n]).await.is_err() {
                        return;
                    }
                }
            };
            let back = async {
                let mut bytes = [0; 1 << 10];
                while let Ok(n) = to_reader.read(&mut bytes).await {
                    if n == 0 {
                        // It has ended by itself, or because of what was done to the other direction.
                        sleep(Duration::from_millis(20)).await;
                        if halved.get() {
                            std::future::pending::<()>().await;
                        }
                    }
                    if n == 0 || from_writer.write_all(&bytes[..n]).await.is_err() {
                        return;
                    }
                }
            };
            // A link that is cut while nothing goes over it ends as well.
            let cut = async {
                while links.borrow()[&link] != Link::Cut {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            tokio::select! {
                () = there => {}
                () = back => {}
                () = cut => {}
            }
        });
    }
}
