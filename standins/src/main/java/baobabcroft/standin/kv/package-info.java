/** Stand-in for the platform's key-value service: an in-memory store with the etcd v3 JSON gateway API. */
package baobabcroft.standin.kv;
