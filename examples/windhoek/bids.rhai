// A bid may run at most once; lookups are repeatable.
if method == "GET" {
    #{ repeatable: true, deadline_ms: 2000, priority: 3, attempts: 2 }
} else if "x-urgent" in headers {
    #{ repeatable: false, deadline_ms: 3000, priority: 9 }
} else {
    #{ repeatable: false, deadline_ms: 3000, priority: 6 }
}
