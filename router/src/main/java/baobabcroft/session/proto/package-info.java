/** Generated wire types of {@code baobabcroft.session}; see the .proto file of the same name. */
package baobabcroft.session.proto;
