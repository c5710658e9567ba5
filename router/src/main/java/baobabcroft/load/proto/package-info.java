/** Generated wire types of {@code baobabcroft.load}; see the .proto file of the same name. */
package baobabcroft.load.proto;
