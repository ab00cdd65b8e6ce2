use super::*;

/// A signal interrupts a read or write. The connection is sound and must not be given up.
#[test]
fn interrupted_calls_are_repeated() {
    let mut results = vec![
        Err(ErrorKind::ConnectionReset.into()),
        Ok(7),
        Err(ErrorKind::Interrupted.into()),
        Err(ErrorKind::Interrupted.into()),
    ];
    assert_eq!(uninterrupted(|| results.pop().unwrap()).unwrap(), 7);
    let failed = uninterrupted(|| results.pop().unwrap());
    assert_eq!(failed.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// A peer that sends without a pause must not keep the thread from other tasks (report fd5ec9).
#[test]
fn reading_bytes_that_are_always_there_lets_other_tasks_run() {
    const BYTES: usize = 10_000;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let read_before_other_task = runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut peer = std::net::TcpStream::connect(address).unwrap();
        let (read, _write) = listener.accept().await.unwrap().0.into_split();
        std::io::Write::write_all(&mut peer, &[b'x'; BYTES]).unwrap();
        let count = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let reader_count = count.clone();
        read.readable().await.unwrap();
        let reader = tokio::spawn(async move {
            let mut byte = [0];
            for _ in 0..BYTES {
                assert_eq!(read_some(&read, &mut byte).await.unwrap(), 1);
                reader_count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            }
        });
        let other = tokio::spawn(async move { count.load(std::sync::atomic::Ordering::Relaxed) });
        reader.await.unwrap();
        other.await.unwrap()
    });
    assert!(
        read_before_other_task < BYTES / 10,
        "{read_before_other_task}"
    );
}
