//! The steps of a scenario, grouped by what they act on. They are listed at the head of `mod.rs`.

use super::*;

impl Stage {
    /// Runs one step of a scenario.
    pub async fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let done = words.is_empty()
            || self.write_step(line, &words).await
            || self.client_step(line, &words).await
            || self.read_step(line, &words).await
            || self.answer_step(line, &words).await
            || self.endpoint_step(&words).await
            || self.service_step(line, &words).await
            || self.process_step(line, &words).await
            || self.check_step(line, &words).await;
        assert!(done, "unknown step: {line}");
    }
}

impl Stage {
    /// Steps in which a client writes raw bytes. Returns false for any other step.
    async fn write_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["send", rest @ ..] => self.send(rest).await,
            ["finish", name, id] => {
                let Client::Http2 { streams, .. } = self.client(name).await else {
                    panic!("finish is for HTTP/2")
                };
                let (_, body) = streams.get_mut(*id).unwrap();
                body.send_data(Bytes::from_static(b"BBBB"), true).unwrap();
            }
            ["raw", name, ..] => {
                let text = line.splitn(3, ' ').nth(2).unwrap_or("");
                let text = text.replace("\\r", "\r").replace("\\n", "\n");
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("raw is for RESP")
                };
                stream.write_all(text.as_bytes()).await.unwrap();
            }
            ["burst", name, n] => self.write_burst(name, n, "3000").await,
            ["burst", name, n, deadline_ms] => self.write_burst(name, n, deadline_ms).await,
            ["garbage", name, n] => {
                let noise = "x".repeat(n.parse().unwrap());
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("garbage is for RESP")
                };
                write_until_blocked(stream, noise.as_bytes()).await;
            }
            ["fin", name] => {
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("fin is for RESP")
                };
                stream.shutdown().await.unwrap();
            }
            ["long", name, n] => {
                let value = "x".repeat(n.parse::<usize>().unwrap() / 2);
                let text = format!(
                    "*3\r\n$4\r\nPING\r\n${0}\r\n{value}\r\n${0}\r\n{value}\r\n",
                    value.len()
                );
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("long is for RESP")
                };
                stream.write_all(text.as_bytes()).await.unwrap();
            }
            ["incomplete", name, n] => self.write_incomplete(name, n).await,
            _ => return false,
        }
        true
    }

    /// Writes `n` requests at once, until the program stops reading.
    async fn write_burst(&mut self, name: &str, n: &str, deadline_ms: &str) {
        let terms = format!("c=fetch-episode,t=national,d={deadline_ms},units=1,spread=1,first=0");
        let request = |i: usize| {
            let id = format!("{name}{i}");
            let tenant = format!("{i:016x}");
            encode_request(&["SVC.QUERY", &tenant, &id, &terms])
        };
        let text: String = (0..n.parse().unwrap()).map(request).collect();
        let Client::Resp { stream, .. } = self.client(name).await else {
            panic!("burst is for RESP")
        };
        write_until_blocked(stream, text.as_bytes()).await;
    }

    /// Writes a request with a body of `n` bytes, all but its end.
    async fn write_incomplete(&mut self, name: &str, n: &str) {
        let head = "*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n0000000000000007\r\n$1\r\np\r\n";
        let terms = "c=book-rebroadcast,t=city,d=2000,units=1,spread=1,first=0";
        let n = n.parse::<usize>().unwrap();
        let text = format!(
            "{head}${}\r\n{terms}\r\n${n}\r\n{}",
            terms.len(),
            "x".repeat(n - 1)
        );
        let Client::Resp { stream, .. } = self.client(name).await else {
            panic!("incomplete is for RESP")
        };
        // Bytes that do not fit into the socket's buffer are not sent.
        let _ = stream.try_write(text.as_bytes());
    }

    /// Other steps of clients. Returns false for any other step.
    async fn client_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["reset", name, id] => match self.clients.get_mut(*name).unwrap() {
                Client::Resp { .. } => drop(self.clients.remove(*name)),
                Client::Http2 { streams, .. } => {
                    streams
                        .remove(*id)
                        .unwrap()
                        .1
                        .send_reset(h2::Reason::CANCEL);
                }
            },
            ["close", name] => drop(self.clients.remove(*name)),
            [method @ ("get" | "post"), name, id, path, headers @ ..] => {
                let Client::Http2 { send, streams, .. } = self.client(name).await else {
                    panic!("get and post are for HTTP/2")
                };
                let mut request = http::Request::builder()
                    .method(method.to_uppercase().as_str())
                    .uri(format!("http://ingress{path}"));
                for (name, value) in headers.iter().filter_map(|h| h.split_once('=')) {
                    request = request.header(name, value);
                }
                let mut ready = send.clone().ready().await.unwrap();
                let stream = ready.send_request(request.body(()).unwrap(), true).unwrap();
                streams.insert(id.to_string(), stream);
            }
            ["flood", name, n] => self.flood(name, n.parse().unwrap()).await,
            ["late_duplicates", name, endpoint, n, max_requests] => {
                let (n, max_requests) = (n.parse().unwrap(), max_requests.parse().unwrap());
                self.send_until_duplicated(name, endpoint, n, max_requests)
                    .await;
            }
            ["retry", name, terms @ ..] => {
                for attempt in 0.. {
                    let id = format!("{name}-{attempt}");
                    self.send(&[&[*name, id.as_str()], terms].concat()).await;
                    let answer = self.answer(name, &id).await;
                    if answer.starts_with("served") {
                        break;
                    }
                    assert_eq!(answer, "busy", "{:?}: {line}", self.client_wire);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            ["many_fields", name, n, fields] => {
                let (n, fields) = (n.parse().unwrap(), fields.parse().unwrap());
                self.send_many_fields(name, n, fields).await;
            }
            ["window_updates", seconds] => {
                self.flood_window_updates(seconds.parse().unwrap()).await;
            }
            ["fetches_within", name, n, ms] => {
                let (n, ms) = (n.parse().unwrap(), ms.parse().unwrap());
                self.fetch_in_sequence(name, n, Duration::from_millis(ms))
                    .await;
            }
            ["small_receive_buffer"] => self.small_receive_buffer = true,
            ["idle", n] => {
                let to = &self.ports[if self.client_wire == Wire::Resp {
                    "resp"
                } else {
                    "http2"
                }];
                let connects = (0..n.parse::<usize>().unwrap())
                    .map(|_| spawn_local(TcpStream::connect(to.clone())));
                for connect in connects.collect::<Vec<_>>() {
                    self.idle_connections.push(connect.await.unwrap().unwrap());
                }
            }
            ["idle_after_ping", n] => {
                for _ in 0..n.parse::<usize>().unwrap() {
                    let stream = self.ping().await.expect("PONG");
                    self.idle_connections.push(stream);
                }
            }
            _ => return false,
        }
        true
    }
}

impl Stage {
    /// Steps in which a client reads bytes of answers. Returns false for any other step.
    async fn read_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["read", name, n, rate] => {
                let Client::Resp { stream, buffer, .. } = self.client(name).await else {
                    panic!("read is for RESP")
                };
                read_at_rate(stream, buffer, n.parse().unwrap(), rate.parse().unwrap()).await;
            }
            ["answers", name, n] => {
                for _ in 0..n.parse::<usize>().unwrap() {
                    let answer = self.answer(name, "").await;
                    assert_ne!(answer, "closed", "{line}");
                }
            }
            ["ends_before", name, n] => {
                let Client::Resp { stream, buffer, .. } = self.client(name).await else {
                    panic!("ends_before is for RESP")
                };
                while read_some(stream, buffer).await {}
                assert!(
                    buffer.len() < n.parse().unwrap(),
                    "{line}: {}",
                    buffer.len()
                );
            }
            _ => return false,
        }
        true
    }
}

impl Stage {
    /// Steps that check the answers of clients, and wait for attempts and answer them. Returns
    /// false for any other step.
    async fn answer_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["expect", "exit"] => loop {
                if let Some(status) = self.program.try_wait().unwrap() {
                    assert!(status.success(), "{status}");
                    if let Some(second) = self.second.take() {
                        self.program = second;
                    }
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            },
            ["expect", endpoint, id]
                if *endpoint == "*" || self.endpoints.contains_key(*endpoint) =>
            {
                self.wait_for_attempt(endpoint, id).await;
            }
            ["expect", name, id, what @ ..] => {
                let (answer, expected) = (self.answer(name, id).await, what.join(" "));
                assert!(
                    answer.starts_with(&expected),
                    "{:?}: {line}: got {answer}",
                    self.client_wire
                );
                self.answers.push(answer);
            }
            ["answer", endpoint, id, behavior @ ..] => {
                self.answer_attempt(endpoint, id, behavior.join(" ")).await;
            }
            ["retry_after", name, id, min, max] => {
                self.check_retry_after(line, name, id, min, max).await
            }
            _ => return false,
        }
        true
    }

    /// Waits for an attempt and answers it.
    async fn answer_attempt(&mut self, endpoint: &str, id: &str, behavior: String) {
        let key = self.wait_for_attempt(endpoint, id).await;
        let reply = self.shared.arrived.borrow_mut().remove(&key).unwrap();
        let _ = reply.send(behavior);
    }

    /// Sends requests in sequence, so that the program reuses a connection before the duplicate
    /// arrives, and checks that each request gets its own answer.
    async fn send_until_duplicated(
        &mut self,
        name: &str,
        endpoint: &str,
        duplicates_written: usize,
        max_requests: usize,
    ) {
        /// Pauses between requests are 0 to `PAUSES` - 1 ms: shorter than, equal to and longer than
        /// the delay of the duplicate.
        const PAUSES: u64 = 7;
        for attempt in 0..max_requests {
            if self.shared.duplicates_written.get() >= duplicates_written {
                return;
            }
            let (id, value) = (format!("{name}{attempt}"), format!("v{attempt}."));
            self.send(&[name, &id, "book-rebroadcast", "national", "7"])
                .await;
            self.answer_attempt(endpoint, &id, format!("late_duplicate {value}"))
                .await;
            let answer = self.answer(name, &id).await;
            assert_eq!(answer, format!("served {value}"), "request {id}");
            tokio::time::sleep(Duration::from_millis(attempt as u64 % PAUSES)).await;
        }
        let written = self.shared.duplicates_written.get();
        assert!(
            written >= duplicates_written,
            "{written} duplicates in {max_requests} requests"
        );
    }

    /// Checks that the answer is a refusal with a retry-after within these bounds, ms.
    async fn check_retry_after(&mut self, line: &str, name: &str, id: &str, min: &str, max: &str) {
        let ms: u64 = match self.clients.get_mut(name).unwrap() {
            Client::Http2 { streams, .. } => {
                let response = streams.remove(id).unwrap().0.await.unwrap();
                response.headers()["retry-after-ms"]
                    .to_str()
                    .unwrap()
                    .parse()
                    .unwrap()
            }
            Client::Resp {
                stream,
                buffer,
                sent,
            } => {
                while !buffer.ends_with(b"\r\n") && read_some(stream, buffer).await {}
                let text = String::from_utf8_lossy(buffer).to_string();
                buffer.clear();
                sent.pop_front();
                let ms = text
                    .strip_prefix("-BUSY ")
                    .unwrap_or_else(|| panic!("{line}: {text}"));
                ms.trim().parse().unwrap()
            }
        };
        let range = min.parse::<u64>().unwrap()..=max.parse().unwrap();
        assert!(range.contains(&ms), "{:?}: {line}: {ms}", self.client_wire);
        self.answers.push("retry_after".into());
    }
}

impl Stage {
    /// Steps of endpoints. Returns false for any other step.
    async fn endpoint_step(&mut self, words: &[&str]) -> bool {
        match words {
            ["add_unreachable", name] => self.add_unreachable_endpoint(name).await,
            ["make_reachable", name] => self.serve_unreachable_endpoint(name).await,
            ["list_at", name, other] => {
                let (port, wire) = self.endpoints[*other];
                self.endpoints.insert(name.to_string(), (port, wire));
                // It has just started.
                let entry = endpoint_entry(name, port, wire, "active")
                    .replace(r#""started_ms":0"#, r#""started_ms":1000"#);
                self.endpoint_list
                    .send_modify(|changes| changes.push(entry));
            }
            ["state", name, state] => {
                let (port, wire) = self.endpoints[*name];
                let entry = endpoint_entry(name, port, wire, state);
                self.endpoint_list
                    .send_modify(|changes| changes.push(entry));
            }
            ["always", reply @ ..] => *self.shared.always.borrow_mut() = Some(reply.join(" ")),
            ["pool", name, label] => {
                let (port, wire) = self.endpoints[*name];
                let entry = endpoint_entry(name, port, wire, "active");
                let labels = format!(r#""labels":{{"pool":"{label}"}},"state""#);
                self.endpoint_list
                    .send_modify(|changes| changes.push(entry.replace(r#""state""#, &labels)));
                tokio::time::sleep(Duration::from_millis(60)).await;
            }
            ["hang"] => drop(self.shared.hung.send_replace(true)),
            ["resume"] => drop(self.shared.hung.send_replace(false)),
            ["reject_by_goaway"] => *self.shared.reject_by_goaway.borrow_mut() = true,
            _ => return false,
        }
        true
    }

    /// Adds an endpoint whose listener accepts nothing and whose queue is full.
    async fn add_unreachable_endpoint(&mut self, name: &str) {
        // Connections that are never accepted fill the queue; further ones are not established.
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket
            .bind(
                &"127.0.0.1:0"
                    .parse::<std::net::SocketAddr>()
                    .unwrap()
                    .into(),
            )
            .unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let queued_connections = (0..4)
            .map(|_| spawn_local(TcpStream::connect(address)))
            .collect::<Vec<_>>();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let wire = self.endpoints["a"].1;
        self.endpoints
            .insert(name.to_string(), (address.port(), wire));
        self.full_listeners
            .push((name.to_string(), socket, queued_connections));
        let entry = endpoint_entry(name, address.port(), wire, "active");
        self.endpoint_list
            .send_modify(|changes| changes.push(entry));
    }

    /// Makes the listener of such an endpoint accept connections from now on.
    async fn serve_unreachable_endpoint(&mut self, name: &str) {
        let index = self
            .full_listeners
            .iter()
            .position(|listener| listener.0 == *name)
            .expect("an endpoint of add_unreachable");
        let (name, socket, queued_connections) = self.full_listeners.remove(index);
        queued_connections
            .iter()
            .for_each(tokio::task::JoinHandle::abort);
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let (wire, shared) = (self.endpoints[&name].1, self.shared.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                match wire {
                    Wire::Resp => spawn_local(resp_endpoint(name.clone(), stream, shared.clone())),
                    Wire::Http2 => {
                        spawn_local(http2_endpoint(name.clone(), stream, shared.clone()))
                    }
                };
            }
        });
    }

    /// Steps of discovery, the counter and the program's files. Returns false for any other step.
    async fn service_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["inventory", names @ ..] => {
                let row = |name: &&str| {
                    let (name, state) = name.split_once('=').unwrap_or((name, ""));
                    match self.endpoints.get(name) {
                        Some((port, Wire::Http2)) => {
                            format!("{name},127.0.0.1:{port},building-1,http2,{state}\n")
                        }
                        Some((port, Wire::Resp)) => {
                            format!("{name},127.0.0.1:{port},building-1,resp,{state}\n")
                        }
                        None => format!("{name},nowhere,,,\n"),
                    }
                };
                let rows: String = names.iter().map(row).collect();
                std::fs::write(
                    self.folder.join("inventory.csv"),
                    format!("{INVENTORY_HEADER}{rows}"),
                )
                .unwrap();
                self.reload_files().await;
            }
            ["move", services @ ..] => {
                let old = self.relocate(services).await;
                self.reload_files().await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                old.iter().for_each(AbortHandle::abort);
            }
            ["rules", ..] => {
                let text = line
                    .split_once(' ')
                    .map_or("", |x| x.1)
                    .replace("\\n", "\n");
                std::fs::write(self.folder.join("rules.toml"), text).unwrap();
                self.reload_files().await;
            }
            ["pipe", name] => {
                let path = self.folder.join(name);
                std::fs::remove_file(&path).unwrap();
                let made = Command::new("mkfifo").arg(&path).status().unwrap();
                assert!(made.success());
                self.reload_files().await;
            }
            ["config", text @ ..] => {
                std::fs::write(self.folder.join("config.json"), text.join(" ")).unwrap();
                self.reload_files().await;
            }
            ["counter", behavior] => *self.shared.counter.borrow_mut() = behavior.to_string(),
            ["discovery", behavior] => *self.shared.discovery.borrow_mut() = behavior.to_string(),
            _ => return false,
        }
        true
    }
}

impl Stage {
    /// Steps of the program's processes, and operators' calls. Returns false for any other step.
    async fn process_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["stop"] => self.signal("-TERM"),
            ["freeze"] => {
                self.signal("-STOP");
                let stopped = || {
                    let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.program.id()))
                        .unwrap();
                    stat.rsplit(')')
                        .next()
                        .unwrap()
                        .trim_start()
                        .starts_with('T')
                };
                while !stopped() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            ["thaw"] => self.signal("-CONT"),
            ["inherited_socket" | "small_memory" | "more_descriptors"] | ["with", ..] => {}
            ["start_second"] => {
                self.operator_port += 1;
                self.second = Some(self.start());
                for attempt in 0.. {
                    let up = TcpStream::connect(self.operator_address()).await.is_ok();
                    if up && self.call("STATUS").await.starts_with("ACK") {
                        break;
                    }
                    assert!(attempt < 400, "the second process is not ready");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
            ["start_fails"] => {
                // The operator address of the second process is in use.
                self.operator_port += 1;
                let _taken = TcpListener::bind(self.operator_address()).await.unwrap();
                let mut program = self.start();
                let status = program.wait().unwrap();
                assert_eq!(status.code(), Some(2));
                self.operator_port -= 1;
            }
            ["kill"] => {
                self.program.kill().unwrap();
                self.program.wait().unwrap();
                self.program = self.second.take().expect("a process of start_second");
            }
            ["call", word, text @ ..] => {
                let answer = self.call(&text.join(" ")).await;
                assert!(
                    answer.starts_with(word),
                    "{:?}: {line}: {answer}",
                    self.client_wire
                );
            }
            ["partial_call", text @ ..] => {
                let mut stream = TcpStream::connect(self.operator_address()).await.unwrap();
                stream.write_all(text.join(" ").as_bytes()).await.unwrap();
                self.idle_connections.push(stream);
            }
            _ => return false,
        }
        true
    }

    /// Steps that wait, or check the program and the simulated servers. Returns false for any other
    /// step.
    async fn check_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["memory"] => self.noted_memory_mb = self.resident_mb(),
            ["memory", max] => {
                let grown = self.resident_mb() - self.noted_memory_mb;
                assert!(
                    grown <= max.parse().unwrap(),
                    "{:?}: {line}: {grown} MB",
                    self.client_wire
                );
            }
            ["descriptors", max] => {
                let open_descriptors = |program: &Child| {
                    std::fs::read_dir(format!("/proc/{}/fd", program.id()))
                        .map_or(0, Iterator::count)
                };
                let all = open_descriptors(&self.program)
                    + self.second.as_ref().map_or(0, open_descriptors);
                assert!(all <= max.parse().unwrap(), "{line}: {all}");
            }
            ["wait", ms] => tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await,
            ["runs", id, n] => {
                assert_eq!(self.runs(id).to_string(), *n, "{line}");
            }
            ["attempts", "none"] => assert_eq!(self.attempts(), self.noted_attempts, "{line}"),
            ["attempts", min] => {
                self.noted_attempts = self.attempts();
                assert!(
                    self.noted_attempts >= min.parse().unwrap(),
                    "{line}: {}",
                    self.noted_attempts
                );
            }
            ["counted", n] => {
                let (n, total): (f64, f64) = (n.parse().unwrap(), self.counted_units());
                assert!((n..n + 1.0).contains(&total), "{line}: {total}");
            }
            ["counted", n, rate] => {
                self.check_counted(line, n.parse().unwrap(), rate.parse().unwrap());
            }
            _ => return false,
        }
        true
    }

    /// Returns the units that the counter holds.
    fn counted_units(&self) -> f64 {
        self.shared.totals.borrow().values().sum()
    }

    /// Checks that the counter holds at least `units`, and at most `units_per_s` more for each
    /// second since its first.
    fn check_counted(&self, line: &str, units: f64, units_per_s: f64) {
        /// The program rounds amounts to single precision.
        const ROUNDING: f64 = 1e-3;
        let first_counted = self.shared.first_counted.get();
        let elapsed_s = first_counted.map_or(0.0, |at| at.elapsed().as_secs_f64());
        let total = self.counted_units();
        let max_requests = units + units_per_s * elapsed_s + ROUNDING;
        assert!(
            (units..=max_requests).contains(&total),
            "{line}: {total}, {elapsed_s} s after the first units"
        );
    }
}
