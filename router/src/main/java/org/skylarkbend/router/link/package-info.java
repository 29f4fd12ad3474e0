/** Connection of the router to control: leases, published sets and messages of other slices. */
package org.skylarkbend.router.link;
