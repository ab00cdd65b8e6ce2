// A plug-in: sees each command before the decision. It may return
//   ()                            pass
//   #{ nack: MS }                 refuse, come back after MS milliseconds
//   #{ notes: #{ name: value } }  pass, with notes for the log and for HTTP/2 instances (api-note-NAME)
fn decide(command) {
    if command.class == "book-rebroadcast" && command.body_bytes == 0 {
        return #{ nack: 1000 };
    }
    #{ notes: #{ origin: command.plan } }
}
