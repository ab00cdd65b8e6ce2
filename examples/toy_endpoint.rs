//! A toy catch-up node to try driftgap with: it answers every request of the platform's protocol with the
//! class it was asked for, after a moment. Usage: toy_endpoint ADDRESS:PORT

use driftgap::protocol::resp::{request_words, Parsed};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let (mut held, mut part) = (Vec::new(), [0; 4096]);
    loop {
        let reply = match request_words(&held) {
            Ok(Parsed::Complete(words, n)) => {
                let text = |i: usize| {
                    String::from_utf8_lossy(words.get(i).unwrap_or(&b"".as_slice())).to_string()
                };
                let reply = match text(0).as_str() {
                    "SVC.QUERY" | "SVC.SUBMIT" => {
                        std::thread::sleep(Duration::from_millis(40));
                        let value = format!("{} for {}: {}", text(2), text(1), text(3));
                        println!("{value}");
                        format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
                    }
                    "PING" => "+PONG\r\n".to_string(),
                    _ => "-ERR unknown\r\n".to_string(),
                };
                Some((reply, n))
            }
            Ok(Parsed::More(_)) => None,
            Err(_) => return stream.write_all(b"-ERR malformed\r\n"),
        };
        if let Some((reply, n)) = reply {
            stream.write_all(reply.as_bytes())?;
            held.drain(..n);
            continue;
        }
        let n = stream.read(&mut part)?;
        if n == 0 {
            return Ok(());
        }
        held.extend_from_slice(&part[..n]);
    }
}

fn main() -> std::io::Result<()> {
    let address = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "127.0.0.1:7001".into());
    let listener = TcpListener::bind(&address)?;
    println!("toy instance on {address}");
    for stream in listener.incoming() {
        let stream = stream?;
        std::thread::spawn(move || serve(stream));
    }
    Ok(())
}
