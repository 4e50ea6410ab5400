/** Access to the package-private classes of XNIO that portrelay needs. Depends on no package of portrelay. */
package org.xnio.nio;
