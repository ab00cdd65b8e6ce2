// A plug-in. `decide` is called for each request before the admission decision. It returns one of
//   ()                            accept
//   #{ nack: MS }                 reject, with a retry-after of MS milliseconds
//   #{ notes: #{ name: value } }  accept, with notes for the log and for HTTP/2 endpoints (header api-note-NAME)
fn decide(command) {
    if command.class == "book-rebroadcast" && command.body_bytes == 0 {
        return #{ nack: 1000 };
    }
    #{ notes: #{ origin: command.plan } }
}
