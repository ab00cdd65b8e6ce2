//! Relays between processes, one for each direction of a link. A relay forwards bytes or injects a
//! fault.

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
pub enum Fault {
    None,
    Cut,
    Mute,
    Slow(u64),
    Jitter(u64),
    Throttle(u64),
    Half,
    /// Forwards half of the next bytes, and then ends the connection, once.
    Torn,
}

/// The state of each directed link, by the processes that it leads from and to.
pub type LinkFaults = Rc<RefCell<HashMap<(usize, usize), Fault>>>;

/// Forwards connections of one directed link to the address on which the target listens.
pub async fn relay(listener: TcpListener, to: String, link: (usize, usize), links: LinkFaults) {
    loop {
        let Ok((from, _)) = listener.accept().await else {
            return;
        };
        if links.borrow()[&link] == Fault::Cut {
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
            let half_open = Cell::new(false);
            let mut rand = oorandom::Rand64::new(link.0 as u128 * 8 + link.1 as u128);
            let forward = async {
                let mut bytes = [0; 16 << 10];
                loop {
                    let n = from_reader.read(&mut bytes).await.unwrap_or(0);
                    let fault = links.borrow()[&link];
                    match fault {
                        _ if n == 0 => return,
                        Fault::Cut => return,
                        Fault::Mute => continue,
                        Fault::Slow(ms) => sleep(Duration::from_millis(ms)).await,
                        Fault::Jitter(ms) => {
                            sleep(Duration::from_millis(rand.rand_range(0..ms + 1))).await
                        }
                        Fault::Throttle(rate) => {
                            sleep(Duration::from_secs_f64(n as f64 / rate as f64)).await
                        }
                        Fault::Half => {
                            links.borrow_mut().insert(link, Fault::None);
                            half_open.set(true);
                            let _ = to_writer.shutdown().await;
                            // The writing side must not notice, not even by the end of the other
                            // direction.
                            while from_reader.read(&mut bytes).await.is_ok_and(|n| n > 0) {}
                            return;
                        }
                        Fault::Torn => {
                            let _ = to_writer.write_all(&bytes[..n / 2]).await;
                            links.borrow_mut().insert(link, Fault::None);
                            return;
                        }
                        Fault::None => {}
                    }
                    if to_writer.write_all(&bytes[..n]).await.is_err() {
                        return;
                    }
                }
            };
            let backward = async {
                let mut bytes = [0; 1 << 10];
                while let Ok(n) = to_reader.read(&mut bytes).await {
                    if n == 0 {
                        // The connection was closed by the target, or as an effect of the half-open
                        // fault.
                        sleep(Duration::from_millis(20)).await;
                        if half_open.get() {
                            std::future::pending::<()>().await;
                        }
                    }
                    if n == 0 || from_writer.write_all(&bytes[..n]).await.is_err() {
                        return;
                    }
                }
            };
            // Ends the connection on a cut even if no bytes flow.
            let cut = async {
                while links.borrow()[&link] != Fault::Cut {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            tokio::select! {
                () = forward => {}
                () = backward => {}
                () = cut => {}
            }
        });
    }
}
