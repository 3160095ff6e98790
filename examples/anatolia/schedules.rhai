// This service only serves lookups: GET, HEAD and POST searches are repeatable.
if method == "GET" || method == "HEAD" || method == "POST" && path.starts_with("/search") {
    #{ repeatable: true, deadline_ms: 2000, priority: 4, attempts: 2 }
} else {
    #{ repeatable: false, deadline_ms: 2000, priority: 4 }
}
