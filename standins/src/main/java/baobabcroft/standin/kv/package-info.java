/** Stand-in of the platform's key-value service: an in-memory store behind the v3 JSON gateway of etcd. */
package baobabcroft.standin.kv;
