//! An endpoint to try driftgap with. It answers every request of the platform's RESP protocol after
//! a short delay, with the contents of the request. Usage: toy_endpoint ADDRESS:PORT

use driftgap::protocol::resp::{request_words, Parsed};
use driftgap::protocol::wire_names::{VERB_SAFE, VERB_WITH_EFFECT};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Address to listen on if none is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7001";
/// Simulated processing time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Size of the read buffer, bytes.
const READ_BYTES: usize = 4096;

/// Returns the reply to one request.
fn reply(words: &[&[u8]]) -> String {
    let text = |word: usize| String::from_utf8_lossy(words.get(word).unwrap_or(&&b""[..]));
    match text(0).as_ref() {
        VERB_SAFE | VERB_WITH_EFFECT => {
            std::thread::sleep(SERVICE_TIME);
            let value = format!("{} for {}: {}", text(2), text(1), text(3));
            println!("{value}");
            format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
        }
        "PING" => "+PONG\r\n".to_string(),
        _ => "-ERR unknown\r\n".to_string(),
    }
}

/// Answers the requests of one connection until it ends.
fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    let mut unread = Vec::new();
    let mut part = [0; READ_BYTES];
    loop {
        match request_words(&unread) {
            Ok(Parsed::Complete(words, length)) => {
                stream.write_all(reply(&words).as_bytes())?;
                unread.drain(..length);
            }
            Ok(Parsed::More(_)) => {
                let read = stream.read(&mut part)?;
                if read == 0 {
                    return Ok(());
                }
                unread.extend_from_slice(&part[..read]);
            }
            Err(_) => return stream.write_all(b"-ERR malformed\r\n"),
        }
    }
}

fn main() -> std::io::Result<()> {
    let address = std::env::args()
        .nth(1)
        .unwrap_or_else(|| DEFAULT_ADDRESS.into());
    let listener = TcpListener::bind(&address)?;
    println!("toy endpoint on {address}");
    for stream in listener.incoming() {
        let stream = stream?;
        std::thread::spawn(move || serve(stream));
    }
    Ok(())
}
