/** HTTP server of the stand-ins, whose connections can be refused and aborted. */
package baobabcroft.standin.http;
