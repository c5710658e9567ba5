/** HTTP servers whose connections can be refused, dropped and cut, for stand-ins. */
package baobabcroft.standin.http;
